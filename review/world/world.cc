#include "world.hh"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <rapidjson/document.h>

namespace world {

using std::string;

static const auto began = std::chrono::steady_clock::now();

int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now() - began)
		.count();
}

void sleep_ms(int64_t ms)
{
	if (ms > 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void sleep_until(int64_t ms)
{
	sleep_ms(ms - now_ms());
}

int64_t unix_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::system_clock::now().time_since_epoch())
		.count();
}

static FILE *record_file;
static std::mutex record_mutex;

void record_open(const string &path)
{
	record_file = fopen(path.c_str(), "w");
}

void record(const char *fmt, ...)
{
	std::lock_guard<std::mutex> g(record_mutex);
	va_list ap;

	if (!record_file)
		return;
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
}

bool trouble()
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

const string *message::find(const char *name) const
{
	for (auto &h : headers)
		if (!strcasecmp(h.first.c_str(), name))
			return &h.second;
	return nullptr;
}

string message::get(const char *name) const
{
	const string *v = find(name);

	return v ? *v : "";
}

conn::~conn()
{
	if (fd >= 0)
		close(fd);
}

bool conn::send(const string &bytes)
{
	size_t done = 0;

	while (done < bytes.size()) {
		ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done,
				   MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		done += (size_t)n;
	}
	return true;
}

bool conn::fill(int timeout_ms)
{
	struct pollfd p = {fd, POLLIN, 0};
	char buf[16384];
	ssize_t n;

	if (timeout_ms < 0)
		timeout_ms = 0;
	if (poll(&p, 1, timeout_ms) <= 0)
		return false;
	n = recv(fd, buf, sizeof(buf), 0);
	if (n <= 0) {
		closed = true;
		return false;
	}
	in.append(buf, (size_t)n);
	return true;
}

bool conn::read_head(message &m, bool request, int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	size_t end;
	size_t pos;

	m = message();
	while ((end = in.find("\r\n\r\n")) == string::npos)
		if (!fill((int)(until - now_ms())))
			return false;
	string head = in.substr(0, end + 2);
	in.erase(0, end + 4);
	pos = head.find("\r\n");
	string first = head.substr(0, pos);
	if (request) {
		size_t a = first.find(' ');
		size_t b = first.rfind(' ');

		if (a == string::npos || b <= a)
			return false;
		m.method = first.substr(0, a);
		m.target = first.substr(a + 1, b - a - 1);
	} else {
		m.status = atoi(first.c_str() + 9);
	}
	pos += 2;
	while (pos < head.size()) {
		size_t eol = head.find("\r\n", pos);
		string line = head.substr(pos, eol - pos);
		size_t colon = line.find(':');

		if (colon != string::npos) {
			size_t v = line.find_first_not_of(' ', colon + 1);

			m.headers.emplace_back(
				line.substr(0, colon),
				v == string::npos ? "" : line.substr(v));
		}
		pos = eol + 2;
	}
	return true;
}

// Reads a body with a length, in chunks, or none.
bool conn::read_body(message &m, int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	m.body.clear();
	if (const string *l = m.find("content-length")) {
		size_t n = strtoul(l->c_str(), nullptr, 10);

		while (in.size() < n)
			if (!fill((int)(until - now_ms())))
				return false;
		m.body = in.substr(0, n);
		in.erase(0, n);
	} else if (m.find("transfer-encoding")) {
		for (;;) {
			size_t eol;

			while ((eol = in.find("\r\n")) == string::npos)
				if (!fill((int)(until - now_ms())))
					return false;
			size_t n = strtoul(in.c_str(), nullptr, 16);

			while (in.size() < eol + 2 + n + 2)
				if (!fill((int)(until - now_ms())))
					return false;
			m.body += in.substr(eol + 2, n);
			in.erase(0, eol + 2 + n + 2);
			if (!n)
				break;
		}
	}
	return true;
}

void conn::shut()
{
	if (fd >= 0)
		shutdown(fd, SHUT_RDWR);
}

void conn::reset()
{
	struct linger l = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
	fd = -1;
}

string loopback(int port)
{
	return "127.0.0.1:" + std::to_string(port);
}

static int bound(int port, bool reuse)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in sin = {};
	int on = 1;

	if (reuse)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin))) {
		close(fd);
		return -1;
	}
	return fd;
}

// Returns a port that is free for TCP and UDP, never the same one twice.  It is
// below the range from which the kernel takes ports of clients: one of these
// could hold it when a worker that was away comes back.
int free_port()
{
	static int next = 12000 + (int)(getpid() % 200) * 95;

	for (int i = 0; i < 18000; i++) {
		struct sockaddr_in sin = {};
		int port = next;

		next = next >= 32000 ? 12000 : next + 1;
		int fd = bound(port, false);
		if (fd < 0)
			continue;
		close(fd);
		sin.sin_family = AF_INET;
		sin.sin_port = htons((uint16_t)port);
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		int rc = bind(udp, (struct sockaddr *)&sin, sizeof(sin));

		close(udp);
		if (!rc)
			return port;
	}
	_exit(2);
}

server::server(int port, handler h) : port_(port), handler_(std::move(h))
{
	for (int i = 0; i < 50; i++) {
		fd_ = bound(port, true);
		if (fd_ >= 0)
			break;
		sleep_ms(20);
	}
	if (fd_ < 0 || listen(fd_, 512)) {
		record("cannot listen on %d: %s", port, strerror(errno));
		fprintf(stderr, "cannot listen on %d\n", port);
		_exit(2);
	}
	thread_ = std::thread([this] { accept_all(); });
}

server::~server()
{
	stop();
}

string server::address() const
{
	return loopback(port_);
}

void server::accept_all()
{
	for (;;) {
		int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
		int on = 1;

		if (fd < 0) {
			if (stopped_)
				return;
			if (errno == EINTR || errno == ECONNABORTED)
				continue;
			return;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		auto c = std::make_shared<conn>();
		c->fd = fd;
		{
			std::lock_guard<std::mutex> g(mutex_);
			if (stopped_)
				return;
			conns_.insert(c);
		}
		auto h = handler_;
		std::thread([c, h] {
			message m;

			while (c->fd >= 0 && !c->closed) {
				if (!c->read_head(m, true, 3600000))
					break;
				if (!c->read_body(m, 60000))
					break;
				h(*c, m);
			}
			c->shut();
			c->closed = true;
		}).detach();
	}
}

// Connections end as at the end of a process; threads go on until they see it.
void server::stop()
{
	if (stopped_.exchange(true))
		return;
	shutdown(fd_, SHUT_RDWR);
	if (thread_.joinable())
		thread_.join();
	close(fd_);
	std::lock_guard<std::mutex> g(mutex_);
	for (auto &c : conns_)
		c->shut();
	conns_.clear();
}

static string encode64(const string &s)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	string out;

	for (size_t i = 0; i < s.size(); i += 3) {
		uint32_t v = (uint32_t)(unsigned char)s[i] << 16;

		if (i + 1 < s.size())
			v |= (uint32_t)(unsigned char)s[i + 1] << 8;
		if (i + 2 < s.size())
			v |= (unsigned char)s[i + 2];
		out += digits[v >> 18];
		out += digits[v >> 12 & 63];
		out += i + 1 < s.size() ? digits[v >> 6 & 63] : '=';
		out += i + 2 < s.size() ? digits[v & 63] : '=';
	}
	return out;
}

static string unpercent(const string &s)
{
	string out;

	for (size_t i = 0; i < s.size(); i++)
		if (s[i] == '%' && i + 2 < s.size()) {
			out += (char)strtol(s.substr(i + 1, 2).c_str(), nullptr,
					    16);
			i += 2;
		} else {
			out += s[i];
		}
	return out;
}

static std::map<string, string> query(const string &target)
{
	std::map<string, string> q;
	size_t pos = target.find('?');

	while (pos != string::npos && pos + 1 < target.size()) {
		size_t end = target.find('&', pos + 1);
		string item = target.substr(
			pos + 1,
			end == string::npos ? string::npos : end - pos - 1);
		size_t eq = item.find('=');

		if (eq != string::npos)
			q[item.substr(0, eq)] = unpercent(item.substr(eq + 1));
		pos = end;
	}
	return q;
}

static string reply_text(int status, const char *reason, const string &headers,
			 const string &body)
{
	return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" +
	       headers + "Content-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

store::store() = default;

store::~store()
{
	end();
}

void store::end()
{
	ended_ = true;
	changed_.notify_all();
	for (auto &l : links_)
		l->srv->stop();
}

store_link &store::add_link()
{
	links_.push_back(std::make_unique<store_link>());
	store_link *l = links_.back().get();

	l->srv = std::make_unique<server>(
		free_port(),
		[this, l](conn &c, message &m) { serve(*l, c, m); });
	return *l;
}

void store::write(const string &table, const string &part, const string &key,
		  const string &value, bool deleted)
{
	rows_[{table, part, key}] =
		row{table, part, key, value, version_, deleted};
}

void store::put(const string &table, const string &key, const string &value)
{
	std::lock_guard<std::mutex> g(mutex_);

	version_++;
	write(table, "", key, encode64(value), false);
	record("store: %s/%s = %s", table.c_str(), key.c_str(),
	       value.substr(0, 200).c_str());
	changed_.notify_all();
}

void store::remove(const string &table, const string &key)
{
	std::lock_guard<std::mutex> g(mutex_);

	version_++;
	write(table, "", key, "", true);
	record("store: %s/%s removed", table.c_str(), key.c_str());
	changed_.notify_all();
}

bool store::has(const string &table, const string &key)
{
	std::lock_guard<std::mutex> g(mutex_);
	auto i = rows_.find({table, "", key});

	return i != rows_.end() && !i->second.deleted;
}

static string quoted(const string &s)
{
	string out = "\"";

	for (char c : s) {
		if (c == '"' || c == '\\')
			out += '\\';
		out += c;
	}
	return out + "\"";
}

void store::append_row(string &out, const row &r, bool first)
{
	if (!first)
		out += ",";
	out += "{\"table\":" + quoted(r.table) + ",\"part\":" + quoted(r.part) +
	       ",\"key\":" + quoted(r.key) +
	       ",\"ver\":" + std::to_string(r.ver);
	if (r.deleted)
		out += ",\"deleted\":true}";
	else
		out += ",\"value\":\"" + r.value + "\"}";
}

string store::rows_get(const std::map<string, string> &q)
{
	std::lock_guard<std::mutex> g(mutex_);
	auto arg = [&](const char *n) {
		auto i = q.find(n);
		return i == q.end() ? string() : i->second;
	};
	size_t limit = arg("limit").empty() ? 500 : strtoul(arg("limit").c_str(),
							    nullptr, 10);
	string out = "{\"rows\":[";
	size_t n = 0;
	bool more = false;

	for (auto &i : rows_) {
		const row &r = i.second;

		if (r.deleted || r.table != arg("table") ||
		    r.part != arg("part") || r.key < arg("from") ||
		    (!arg("to").empty() && r.key >= arg("to")))
			continue;
		if (n == limit) {
			more = true;
			break;
		}
		append_row(out, r, !n++);
	}
	return out + "],\"hasMore\":" + (more ? "true" : "false") +
	       ",\"ver\":" + std::to_string(version_) +
	       ",\"nowMs\":" + std::to_string(now_ms()) + "}";
}

string store::rows_feed(const std::map<string, string> &q, store_link &l,
			conn &c)
{
	std::unique_lock<std::mutex> g(mutex_);
	auto arg = [&](const char *n) {
		auto i = q.find(n);
		return i == q.end() ? string() : i->second;
	};
	uint64_t after = strtoull(arg("after").c_str(), nullptr, 10);
	int64_t until = now_ms() + atoll(arg("waitMs").c_str());

	for (;;) {
		std::map<uint64_t, std::vector<const row *>> found;

		if (l.hush && arg("table") == "op") {
			c.silent = true;
			l.hushed++;
			return "";
		}

		for (auto &i : rows_)
			if (i.second.table == arg("table") &&
			    i.second.ver > after)
				found[i.second.ver].push_back(&i.second);
		if (!found.empty() || now_ms() >= until || ended_ ||
		    c.closed || l.mode != LINK_OPEN) {
			string out = "{\"rows\":[";
			bool first = true;

			for (auto &v : found)
				for (auto *r : v.second) {
					append_row(out, *r, first);
					first = false;
				}
			return out + "],\"ver\":" + std::to_string(version_) +
			       ",\"nowMs\":" + std::to_string(now_ms()) + "}";
		}
		changed_.wait_for(g, std::chrono::milliseconds(50));
	}
}

int store::rows_tx(const string &body, string &out)
{
	rapidjson::Document d;
	std::lock_guard<std::mutex> g(mutex_);
	auto text = [](const rapidjson::Value &v, const char *n) {
		return v.HasMember(n) && v[n].IsString()
			       ? string(v[n].GetString())
			       : string();
	};

	d.Parse(body.c_str());
	if (d.HasParseError() || !d.IsObject())
		return 400;
	if (d.HasMember("expectedRev"))
		for (auto &r : d["expectedRev"].GetArray()) {
			auto i = rows_.find({text(r, "table"), text(r, "part"),
					     text(r, "key")});
			uint64_t ver = i == rows_.end() || i->second.deleted
					       ? 0
					       : i->second.ver;

			if (ver != r["ver"].GetUint64()) {
				out = "{\"rows\":[]}";
				return 412;
			}
		}
	for (const char *list : {"puts", "remove"})
		if (d.HasMember(list))
			for (auto &r : d[list].GetArray())
				if (text(r, "table") == "op" ||
				    text(r, "table") == "servers")
					return 403;
	version_++;
	if (d.HasMember("puts"))
		for (auto &r : d["puts"].GetArray())
			write(text(r, "table"), text(r, "part"),
			      text(r, "key"), text(r, "value"), false);
	if (d.HasMember("remove"))
		for (auto &r : d["remove"].GetArray())
			write(text(r, "table"), text(r, "part"),
			      text(r, "key"), "", true);
	changed_.notify_all();
	out = "{\"ver\":" + std::to_string(version_) +
	      ",\"nowMs\":" + std::to_string(now_ms()) + "}";
	return 200;
}

void store::serve(store_link &l, conn &c, message &m)
{
	string body = "{}";
	int status = 200;
	bool was_open = l.mode == LINK_OPEN;

	if (was_open) {
		sleep_ms(4);
		auto q = query(m.target);

		if (m.target.compare(0, 9, "/rows-get") == 0)
			body = rows_get(q);
		else if (m.target.compare(0, 10, "/rows-feed") == 0)
			body = rows_feed(q, l, c);
		else if (m.target.compare(0, 8, "/rows-tx") == 0)
			status = rows_tx(m.body, body);
		else
			status = 404;
	}
	if (c.silent) {
		while (!ended_)
			sleep_ms(50);
		c.closed = true;
		return;
	}
	if (l.mode == LINK_BUSY) {
		c.send(reply_text(503, "Service Unavailable", "", "{}"));
		return;
	}
	if (l.mode == LINK_SILENT || !was_open) {
		while (l.mode == LINK_SILENT && !ended_)
			sleep_ms(20);
		c.shut(); // a connection that lost an answer delivers no other
		c.closed = true;
		return;
	}
	c.send(reply_text(status, "Status", "Content-Type: application/json\r\n",
			  body));
}

static std::vector<run> all_runs;
static std::mutex runs_mutex;

void note_run(const run &r)
{
	std::lock_guard<std::mutex> g(runs_mutex);

	all_runs.push_back(r);
}

std::vector<run> runs()
{
	std::lock_guard<std::mutex> g(runs_mutex);

	return all_runs;
}

string unique_id(const char *prefix)
{
	static std::atomic<unsigned> n{0};
	char text[64];

	snprintf(text, sizeof(text), "%s%08x", prefix,
		 (++n) * 2654435761u ^ (unsigned)getpid());
	return text;
}

void worker::start()
{
	alive = std::make_shared<std::atomic<bool>>(true);
	born = unix_ms();
	if (!port)
		port = free_port();
	record("worker %s of %s starts at %d, version %s", id.c_str(),
	       service.c_str(), port, version.c_str());
	srv = std::make_unique<server>(
		port, [this](conn &c, message &m) { serve(c, m); });
}

void worker::crash()
{
	if (!srv)
		return;
	*alive = false;
	srv->stop();
	srv.reset();
	record("worker %s of %s at %d crashes", id.c_str(), service.c_str(),
	       port);
}

void worker::put_entry(const char *state)
{
	st->put("servers", id,
		"{\"backend\":\"" + service + "\",\"address\":\"" + address() +
			"\",\"zone\":\"" + zone + "\",\"version\":\"" + version +
			"\",\"slots\":16,\"state\":\"" + state +
			"\",\"coldRemainingMs\":0,\"sequence\":0,\"born\":" +
			std::to_string(born) + "}");
}

void worker::drop_entry()
{
	st->remove("servers", id);
}

void worker::serve(conn &c, message &m)
{
	auto alive_now = alive;
	string id_header = "Request-Id: " + m.get("request-id") + "\r\n";
	string more = extra ? extra(m) : "";
	string wanted = m.get("expected-instance");

	if (m.target == "/healthz") {
		c.send(reply_text(200, "OK", "Instance-Id: " + id + "\r\n",
				  ""));
		return;
	}
	if (m.target == "/report") {
		c.send(reply_text(
			engine ? 200 : 400, "OK",
			string("Content-Type: application/json\r\n") +
				(engine ? "" : "Not-Executed: 1\r\n"),
			"{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\","
			"\"version\":1,\"adapters\":[]}],\"busy\":false,"
			"\"sequence\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,"
			"\"kvTotal\":55000,\"handles\":0,\"born\":" +
				std::to_string(born) + "}"));
		return;
	}
	if (engine && m.target == "/kv-move") {
		sleep_ms(20);
		c.send(reply_text(200, "OK",
				  "Content-Type: application/json\r\n",
				  "{\"handle\":\"" + unique_id("h") +
					  "\",\"created\":1}"));
		return;
	}
	if (engine && m.target.compare(0, 11, "/kv-handle/") == 0) {
		c.send(reply_text(200, "OK", "", "{}"));
		return;
	}
	if (m.get("request-id").empty()) {
		c.send(reply_text(400, "Bad Request", "Not-Executed: 1\r\n",
				  ""));
		return;
	}
	if (!wanted.empty() && wanted != id) {
		record("worker %s of %s: %s %s expects %s: 421", id.c_str(),
		       service.c_str(), m.get("request-id").c_str(),
		       m.target.c_str(), wanted.c_str());
		c.send(reply_text(421, "Misdirected Request",
				  id_header + "Instance-Id: " + id + "\r\n",
				  ""));
		return;
	}
	record("worker %s of %s (%s) runs %s %s%s%s%s", id.c_str(),
	       service.c_str(), version.c_str(), m.get("request-id").c_str(),
	       m.target.c_str(), m.find("last-event-id") ? " after " : "",
	       m.get("last-event-id").c_str(),
	       m.find("kv-from") ? " from a copy" : "");
	note_run(run{now_ms(), m.get("request-id"), m.target, id, service,
		     version});
	if (on_run)
		on_run(m);
	if (engine) {
		run_stream(c, m, *alive_now);
		return;
	}
	sleep_ms(work_ms);
	if (!*alive_now)
		return;
	c.send(reply_text(200, "OK",
			  id_header + "Response-Signature: " + id + ".1\r\n" +
				  more,
			  "done by " + id + " of " + service + "\n"));
}

static string chunk(const string &text)
{
	char size[32];

	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

void worker::run_stream(conn &c, message &m, std::atomic<bool> &alive_now)
{
	uint64_t next = strtoull(m.get("last-event-id").c_str(), nullptr, 10);
	string text = version; // of the process that runs it

	sleep_ms(m.find("kv-from") ? 10 : (int)first_event_ms);
	if (!alive_now ||
	    !c.send("HTTP/1.1 200 OK\r\nRequest-Id: " + m.get("request-id") +
		    "\r\nResponse-Signature: " + id +
		    ".1\r\nContent-Type: text/event-stream\r\n"
		    "Weight-Versions: 1\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n"))
		return;
	while (alive_now && next < (uint64_t)events) {
		next++;
		if (!c.send(chunk("id: " + std::to_string(next) + "\ndata: e" +
				  std::to_string(next) + " " + text + " " + id +
				  "\n\n"))) {
			c.closed = true;
			return;
		}
		struct pollfd p = {c.fd, POLLIN, 0};

		if (poll(&p, 1, event_ms) > 0) { // the caller has left
			c.closed = true;
			return;
		}
	}
	if (alive_now)
		c.send("0\r\n\r\n");
}

string temp_dir;

void make_temp_dir()
{
	const char *base = getenv("TMPDIR");
	string pattern = string(base ? base : "/tmp") + "/review.XXXXXX";

	temp_dir = mkdtemp(&pattern[0]) ? pattern : "";
	if (temp_dir.empty())
		exit(2);
}

void instance::prepare(const string &name_, store_link &l)
{
	name = name_;
	link = &l;
	callers = free_port();
	readiness = free_port();
	directory = free_port();
	metrics = free_port();
	control = free_port();
	peers = free_port();
	log = temp_dir + "/" + name + ".log";
}

// The lines of deploy/instance.toml.in, with the values of DEPLOY.md.
void instance::start()
{
	string path = temp_dir + "/" + name + ".toml";
	FILE *f = fopen(path.c_str(), "w");
	string list;

	for (auto &s : seeds)
		list += (list.empty() ? "\"" : ", \"") + s + "\"";
	fprintf(f,
		"name = \"%s\"\nzone = \"%s\"\ncallers = \"%s\"\n"
		"readiness = \"%s\"\ndirectory = \"%s\"\nmetrics = \"%s\"\n"
		"peers = \"%s\"\ncontrol = \"%s\"\nseeds = [%s]\n"
		"capacity = 0.25\nstore = \"%s\"\ngrace_s = 8\n"
		"reuse_after_s = 2\ndirectory_ttl_s = 5\nrepeat_window_s = 10\n"
		"repeat_ratio = 0.8\nrepeat_slack = 150\n%s",
		name.c_str(), zone.c_str(), loopback(callers).c_str(),
		loopback(readiness).c_str(), loopback(directory).c_str(),
		loopback(metrics).c_str(), loopback(peers).c_str(),
		loopback(control).c_str(), list.c_str(),
		link->srv->address().c_str(), extra.c_str());
	fclose(f);
	pid = fork();
	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process
		int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/bin/cdmproxyd", "target/bin/cdmproxyd", "-f",
		      path.c_str(), (char *)nullptr);
		_exit(127);
	}
	record("instance %s starts", name.c_str());
}

void instance::signal(int number)
{
	record("instance %s: signal %d (%s)", name.c_str(), number,
	       strsignal(number));
	if (pid > 0)
		kill(pid, number);
}

int instance::wait_end(int64_t ms)
{
	int64_t until = now_ms() + ms;
	int status;

	while (pid > 0) {
		if (waitpid(pid, &status, WNOHANG) == pid) {
			pid = -1;
			return status;
		}
		if (now_ms() >= until)
			return -1;
		sleep_ms(5);
	}
	return 0;
}

void instance::kill_now()
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, nullptr, 0);
	pid = -1;
}

bool instance::wait_ready(int64_t ms)
{
	int64_t until = now_ms() + ms;

	while (now_ms() < until) {
		client c;

		if (c.call(loopback(readiness), "GET", "/readyz", {}, "", 500)
			    .status == 200)
			return true;
		sleep_ms(20);
	}
	return false;
}

void clean_up(std::vector<instance *> all, const string &keep_logs)
{
	for (auto *i : all) {
		if (i->pid > 0)
			kill(i->pid, SIGCONT);
		i->kill_now();
		if (!keep_logs.empty())
			(void)!rename(i->log.c_str(),
				      (keep_logs + "/" + i->name + ".log")
					      .c_str());
		unlink(i->log.c_str());
		unlink((temp_dir + "/" + i->name + ".toml").c_str());
	}
	rmdir(temp_dir.c_str());
}

static std::unique_ptr<conn> connect_to(const string &addr)
{
	auto c = std::make_unique<conn>();
	struct sockaddr_in sin = {};
	int on = 1;

	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)atoi(addr.c_str() + addr.find(':') + 1));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)))
		return nullptr;
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return c;
}

static string request_text(
	const string &method, const string &target,
	const std::vector<std::pair<string, string>> &h, const string &body)
{
	string out = method + " " + target + " HTTP/1.1\r\nHost: svc.example\r\n";

	for (auto &x : h)
		out += x.first + ": " + x.second + "\r\n";
	if (!body.empty() || method == "POST")
		out += "Content-Length: " + std::to_string(body.size()) +
		       "\r\n";
	return out + "\r\n" + body;
}

answer client::call(const string &addr, const string &method,
		    const string &target,
		    const std::vector<std::pair<string, string>> &h,
		    const string &body, int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	answer a;

	if (kept && (address != addr || kept->closed))
		kept.reset();
	if (!kept)
		kept = connect_to(addr);
	address = addr;
	if (!kept || !kept->send(request_text(method, target, h, body)) ||
	    !kept->read_head(a.head, false, (int)(until - now_ms()))) {
		kept.reset();
		return a;
	}
	a.status = a.head.status;
	a.complete = kept->read_body(a.head, (int)(until - now_ms()));
	a.body = a.head.body;
	if (!a.complete || a.head.get("connection") == "close")
		kept.reset();
	return a;
}

stream_result read_stream(
	const string &addr, const string &target,
	const std::vector<std::pair<string, string>> &h, const string &body,
	int timeout_ms,
	const std::function<bool(uint64_t id, const string &data)> &event)
{
	int64_t until = now_ms() + timeout_ms;
	stream_result r;
	message m;
	string text;
	auto c = connect_to(addr);

	if (!c || !c->send(request_text("POST", target, h, body)) ||
	    !c->read_head(m, false, (int)(until - now_ms())))
		return r;
	r.status = m.status;
	if (m.status != 200) {
		r.complete = c->read_body(m, 1000);
		return r;
	}
	for (;;) {
		size_t eol;
		size_t end;

		while ((eol = c->in.find("\r\n")) == string::npos)
			if (!c->fill((int)(until - now_ms())))
				return r;
		size_t n = strtoul(c->in.c_str(), nullptr, 16);

		while (c->in.size() < eol + 2 + n + 2)
			if (!c->fill((int)(until - now_ms())))
				return r;
		text += c->in.substr(eol + 2, n);
		c->in.erase(0, eol + 2 + n + 2);
		while ((end = text.find("\n\n")) != string::npos) {
			string ev = text.substr(0, end);
			size_t id = ev.find("id: ");
			size_t data = ev.find("data: ");

			text.erase(0, end + 2);
			if (id != string::npos && data != string::npos &&
			    !event(strtoull(ev.c_str() + id + 4, nullptr, 10),
				   ev.substr(data + 6)))
				return r;
		}
		if (!n) {
			r.complete = text.empty();
			return r;
		}
	}
}

} // namespace world
