// The platform of the stand-ins: its store, links that can be cut, processes
// and the record of a case.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>

#include "net.hh"

// The record of a case: what was sent, answered and run.
class record {
	FILE *file;
	std::mutex lock;
	int64_t start = now_ms();

public:
	explicit record(const std::string &path) : file(fopen(path.c_str(), "w"))
	{
		if (!file)
			exit(2);
	}
	void say(const char *fmt, ...)
	{
		std::lock_guard<std::mutex> g(lock);
		va_list ap;

		fprintf(file, "%9.3f  ", (double)(now_ms() - start) / 1000);
		va_start(ap, fmt);
		vfprintf(file, fmt, ap);
		va_end(ap);
		fputc('\n', file);
		fflush(file);
	}
};

// The platform's store, as PROTOCOL.md tells it: rows with versions of one
// counter, transactions, reads and feeds.
class store {
	struct row {
		std::string table, part, key, value;
		int64_t ver;
		bool deleted;
	};
	std::mutex lock;
	std::condition_variable changed;
	std::vector<row> rows;
	int64_t ver = 0;

	static std::string query(const std::string &target, const char *name)
	{
		std::string key = std::string(name) + "=";
		size_t q = target.find('?');
		std::string out;
		size_t a;
		size_t i;

		if (q == std::string::npos)
			return "";
		for (a = q + 1; a < target.size();) {
			size_t e = target.find('&', a);

			if (e == std::string::npos)
				e = target.size();
			if (!target.compare(a, key.size(), key)) {
				out = target.substr(a + key.size(),
						    e - a - key.size());
				break;
			}
			a = e + 1;
		}
		for (i = 0; i + 2 < out.size(); i++)
			if (out[i] == '%')
				out.replace(i, 3,
					    1, (char)strtol(out.substr(i + 1, 2)
								    .c_str(),
							    NULL, 16));
		return out;
	}

	static std::string row_text(const row &r)
	{
		std::string t = "{\"table\":\"" + r.table + "\",\"part\":\"" +
				r.part + "\",\"key\":\"" + r.key +
				"\",\"ver\":" + std::to_string(r.ver);

		return t + (r.deleted ? ",\"deleted\":true}"
				      : ",\"value\":\"" + r.value + "\"}");
	}

	// Returns the text of a member of a flat JSON object, as these callers
	// write them.
	static std::string member(const std::string &o, const char *name)
	{
		std::string key = "\"" + std::string(name) + "\":\"";
		size_t a = o.find(key);

		if (a == std::string::npos)
			return "";
		a += key.size();
		return o.substr(a, o.find('"', a) - a);
	}

	static std::vector<std::string> objects(const std::string &body,
						const char *list)
	{
		std::vector<std::string> out;
		size_t a = body.find("\"" + std::string(list) + "\":[");
		size_t end = a == std::string::npos ? a : body.find(']', a);

		while (a != std::string::npos) {
			size_t b = body.find('{', a);
			size_t e = body.find('}', b);

			if (b == std::string::npos || b > end)
				break;
			out.push_back(body.substr(b, e - b + 1));
			a = e;
		}
		return out;
	}

	void set(const std::string &table, const std::string &part,
		 const std::string &key, const std::string &value, bool deleted)
	{
		for (row &r : rows)
			if (r.table == table && r.part == part && r.key == key) {
				r.value = value;
				r.ver = ver;
				r.deleted = deleted;
				return;
			}
		if (!deleted)
			rows.push_back({ table, part, key, value, ver, false });
	}

	// Applies a transaction; returns the status.
	int transact(const std::string &body)
	{
		std::lock_guard<std::mutex> g(lock);

		for (const std::string &o : objects(body, "expectedRev")) {
			size_t a = o.find("\"ver\":");
			int64_t want = a == std::string::npos
					       ? 0
					       : atoll(o.c_str() + a + 6);
			int64_t have = 0;

			for (const row &r : rows)
				if (r.table == member(o, "table") &&
				    r.part == member(o, "part") &&
				    r.key == member(o, "key") && !r.deleted)
					have = r.ver;
			if (have != want)
				return 412;
		}
		ver++;
		for (const std::string &o : objects(body, "puts"))
			set(member(o, "table"), member(o, "part"),
			    member(o, "key"), member(o, "value"), false);
		for (const std::string &o : objects(body, "remove"))
			set(member(o, "table"), member(o, "part"),
			    member(o, "key"), "", true);
		changed.notify_all();
		return 200;
	}

	std::string list(const std::string &target)
	{
		std::lock_guard<std::mutex> g(lock);
		std::map<std::string, const row *> found;
		std::string t = "{\"rows\":[";
		const char *comma = "";

		for (const row &r : rows)
			if (r.table == query(target, "table") &&
			    r.part == query(target, "part") && !r.deleted &&
			    r.key >= query(target, "from"))
				found[r.key] = &r;
		for (auto &f : found) {
			t += comma + row_text(*f.second);
			comma = ",";
		}
		return t + text("],\"hasMore\":false,\"ver\":%lld,\"nowMs\":"
				"%lld}",
				(long long)ver, (long long)now_ms());
	}

	std::string feed(const std::string &target)
	{
		std::unique_lock<std::mutex> g(lock);
		std::string table = query(target, "table");
		int64_t after = atoll(query(target, "after").c_str());
		int64_t until = now_ms() + atoll(query(target, "waitMs").c_str());
		std::map<int64_t, const row *> found;
		std::string t = "{\"rows\":[";
		const char *comma = "";

		for (;;) {
			for (const row &r : rows)
				if (r.table == table && r.ver > after)
					found[r.ver] = &r;
			if (!found.empty() || now_ms() >= until)
				break;
			changed.wait_for(g, std::chrono::milliseconds(
						    until - now_ms()));
		}
		for (auto &f : found) {
			t += comma + row_text(*f.second);
			comma = ",";
		}
		return t + text("],\"ver\":%lld,\"nowMs\":%lld}",
				(long long)ver, (long long)now_ms());
	}

	void handle(int fd)
	{
		reader r(fd);

		for (;;) {
			message m = r.read(false, now_ms() + 600000);
			std::string target = m.target();
			int status = 200;
			std::string body;

			if (!m.whole)
				return;
			if (!target.compare(0, 8, "/rows-tx")) {
				status = transact(m.body);
				sleep_ms(8);
				body = text("{\"ver\":%lld,\"nowMs\":%lld}",
					    (long long)ver,
					    (long long)now_ms());
			} else if (!target.compare(0, 9, "/rows-get")) {
				sleep_ms(4);
				body = list(target);
			} else if (!target.compare(0, 10, "/rows-feed")) {
				body = feed(target);
			} else {
				status = 404;
			}
			if (!send_all(fd, text("HTTP/1.1 %d S\r\nContent-Type: "
					       "application/json\r\nContent-"
					       "Length: %zu\r\n\r\n",
					       status, body.size()) +
						  body))
				return;
		}
	}

public:
	std::string address = own_host() + ":0";

	store()
	{
		int fd = listen_on(address);

		if (fd < 0)
			exit(2);
		serve(fd, [this](int c) { handle(c); });
	}

	// What the operator and the workers write.
	void put(const std::string &table, const std::string &key,
		 const std::string &json)
	{
		std::lock_guard<std::mutex> g(lock);

		ver++;
		set(table, "", key, base64(json), false);
		changed.notify_all();
	}
	void remove(const std::string &table, const std::string &key)
	{
		std::lock_guard<std::mutex> g(lock);

		ver++;
		set(table, "", key, "", true);
		changed.notify_all();
	}
};

// A link to an address, which can be cut: silently, in both directions.  Bytes
// and ends of connections that are under way are held, and come when the cut
// heals; new connections get no answer.
class link_to {
	std::string to;
	int listener = -1;
	std::mutex lock;
	std::condition_variable healed;
	bool cut_off = false;
	std::vector<int> fillers;
	std::atomic<int> connections{ 0 };
	std::atomic<int> muted_below{ 0 };

	// Returns whether it had to wait.
	bool wait_healed()
	{
		std::unique_lock<std::mutex> g(lock);
		bool waits = cut_off;

		while (cut_off)
			healed.wait(g);
		return waits;
	}

	// Passes bytes on until the end, and then the end.
	void pass(int from, int onto, int number)
	{
		char buf[65536];

		for (;;) {
			ssize_t n = recv(from, buf, sizeof(buf), 0);
			linger l = { 1, 0 };

			if (wait_healed())
				sleep_ms(resume_ms + number % 4 * resume_step_ms);
			while (number < muted_below) { // also its end
				if (n <= 0)
					sleep_ms(1000);
				else
					n = recv(from, buf, sizeof(buf), 0);
			}
			if (n < 0) { // a reset is passed on as one
				setsockopt(onto, SOL_SOCKET, SO_LINGER, &l,
					   sizeof(l));
				shutdown(onto, SHUT_RDWR);
				return;
			}
			if (!n || !send_all(onto, std::string(buf, (size_t)n))) {
				shutdown(onto, SHUT_WR);
				return;
			}
		}
	}

	void run()
	{
		for (;;) {
			pollfd p = { listener, POLLIN, 0 };
			int one = 1;
			int fd;

			wait_healed();
			if (p.fd < 0 || poll(&p, 1, 20) != 1) {
				sleep_ms(p.fd < 0 ? 5 : 0);
				continue;
			}
			{
				std::lock_guard<std::mutex> g(lock);
				if (cut_off || listener != p.fd)
					continue;
				fd = accept4(listener, NULL, NULL,
					     SOCK_CLOEXEC | SOCK_NONBLOCK);
			}
			if (fd < 0)
				continue;
			fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
			setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one,
				   sizeof(one));
			std::thread([this, fd] {
				int up = connect_to(to, 500);
				linger l = { 1, 0 };

				if (up < 0) { // as a refused connection
					setsockopt(fd, SOL_SOCKET, SO_LINGER,
						   &l, sizeof(l));
					close(fd);
					return;
				}
				fcntl(up, F_SETFL,
				      fcntl(up, F_GETFL) & ~O_NONBLOCK);
				int number = connections++;
				std::thread back([this, fd, up, number] {
					pass(up, fd, number);
				});
				pass(fd, up, number);
				back.join();
				close(fd);
				close(up);
			}).detach();
		}
	}

public:
	std::string address = own_host() + ":0";
	// After a cut TCP sends what was held again by a timer of each
	// connection: one after the other comes so much later.
	int resume_ms = 0;
	int resume_step_ms = 0;

	explicit link_to(const std::string &target) : to(target)
	{
		listener = listen_on(address);
		if (listener < 0)
			exit(2);
		fcntl(listener, F_SETFL, fcntl(listener, F_GETFL) | O_NONBLOCK);
		std::thread([this] { run(); }).detach();
	}

	// Cuts the link.  New connections are not answered: the listener's
	// queue is full.
	void cut()
	{
		int i;

		{
			std::lock_guard<std::mutex> g(lock);
			cut_off = true;
		}
		listen(listener, 0); // a short queue, which is filled
		for (i = 0; i < 4; i++) {
			int fd = socket(AF_INET,
					SOCK_STREAM | SOCK_CLOEXEC |
						SOCK_NONBLOCK,
					0);
			sockaddr_in s = address_of(address);

			if (connect(fd, (sockaddr *)&s, sizeof(s)) &&
			    errno != EINPROGRESS)
				perror("connect");
			fillers.push_back(fd);
		}
	}

	// The number of the next connection.
	int next_number() const
	{
		return connections;
	}

	// The connections with lower numbers go silent for good, without a
	// reset; all others work.
	void silence_below(int number)
	{
		muted_below = number;
	}

	// Refuses new connections, as the host of a process that has ended.
	void refuse()
	{
		std::lock_guard<std::mutex> g(lock);

		close(listener);
		listener = -1;
	}

	void accept_again()
	{
		std::lock_guard<std::mutex> g(lock);

		listener = listen_on(address);
		if (listener < 0)
			exit(2);
		fcntl(listener, F_SETFL, fcntl(listener, F_GETFL) | O_NONBLOCK);
	}

	void heal()
	{
		for (int fd : fillers)
			close(fd);
		fillers.clear();
		// the connections that filled the queue
		for (;;) {
			int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

			if (fd < 0)
				break;
			close(fd);
		}
		listen(listener, 256);
		std::lock_guard<std::mutex> g(lock);
		cut_off = false;
		healed.notify_all();
	}
};

// A process that the case started; it ends with the case.
class process {
public:
	pid_t pid = 0;
	int out = -1; // its standard output, if that is read

	void start(const std::vector<std::string> &words, const std::string &log,
		   bool read_output = false)
	{
		std::vector<char *> argv;
		int fds[2] = { -1, -1 };

		if (read_output && pipe2(fds, O_CLOEXEC))
			exit(2);
		for (const std::string &w : words)
			argv.push_back(const_cast<char *>(w.c_str()));
		argv.push_back(NULL);
		pid = fork();
		if (!pid) {
			int fd = open(log.c_str(),
				      O_WRONLY | O_CREAT | O_APPEND, 0644);

			prctl(PR_SET_PDEATHSIG, SIGKILL);
			dup2(read_output ? fds[1] : fd, 1);
			dup2(fd, 2);
			execv(argv[0], argv.data());
			_exit(127);
		}
		if (read_output) {
			close(fds[1]);
			out = fds[0];
		}
	}
	void kill_now()
	{
		if (pid > 0) {
			kill(pid, SIGKILL);
			waitpid(pid, NULL, 0);
		}
		pid = 0;
	}
	bool running()
	{
		if (pid > 0 && waitpid(pid, NULL, WNOHANG) == pid)
			pid = 0;
		return pid > 0;
	}
};

// An instance of the system, started with the command of the deploy file.
struct instance {
	std::string name, callers, readiness, directory, peers, control, log;
	process proc;

	void start(const store &s, const std::string &dir,
		   const std::string &seeds)
	{
		std::string file = dir + "/" + name + ".toml";
		FILE *f = fopen(file.c_str(), "w");

		if (!f)
			exit(2);
		log = dir + "/" + name + ".log";
		fprintf(f,
			"name = \"%s\"\nzone = \"santiago-norte\"\n"
			"callers = \"%s\"\nreadiness = \"%s\"\n"
			"directory = \"%s\"\nmetrics = \"%s\"\n"
			"peers = \"%s\"\ncontrol = \"%s\"\nseeds = [%s]\n"
			"capacity = 0.25\nstore = \"%s\"\ngrace_s = 8\n"
			"reuse_after_s = 2\ndirectory_ttl_s = 5\n"
			"repeat_window_s = 10\nrepeat_ratio = 0.8\n"
			"repeat_slack = 150\n",
			name.c_str(), callers.c_str(), readiness.c_str(),
			directory.c_str(), free_address().c_str(),
			peers.c_str(), control.c_str(), seeds.c_str(),
			s.address.c_str());
		fclose(f);
		proc.start({ "target/bin/cdmproxyd", "-f", file }, log);
	}
	explicit instance(const std::string &n)
		: name(n), callers(free_address()), readiness(free_address()),
		  directory(free_address()), peers(free_address()),
		  control(free_address())
	{
	}
	// Waits until it answers that it is ready; false if it does not.
	bool wait_ready()
	{
		int64_t until = now_ms() + 10000;

		while (now_ms() < until && proc.running()) {
			int fd = connect_to(readiness);
			message m;

			if (fd >= 0) {
				send_all(fd, "GET /readyz HTTP/1.1\r\n"
					     "Host: x\r\n\r\n");
				m = reader(fd).read(true, now_ms() + 1000);
				close(fd);
			}
			if (m.status() == 200)
				return true;
			sleep_ms(50);
		}
		return false;
	}
};
