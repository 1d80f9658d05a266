// A model worker: engine ID ADDRESS BORN PROMPT_MS EVENT_MS EVENTS VERSION
// chunks|unframed.  Reads a prompt for PROMPT_MS, then sends an event each
// EVENT_MS, behind last-event-id if there is one; events name VERSION, that of
// its software.  Unframed streams have no length: they end with their
// connections.  It drops a run when its connection closes.  Prints what it runs.
#include "net.hh"

static std::string id;
static long long born;
static int prompt_ms, event_ms, n_events;
static std::string version;
static bool chunks;

static void say(const char *what, const std::string &request, long n)
{
	std::string line = text("%s %s %ld\n", what, request.c_str(), n);

	if (write(1, line.data(), line.size()) < 0)
		_exit(1);
}

static bool is_closed(int fd)
{
	char c;
	ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);

	return !n || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static std::string part(const std::string &data)
{
	return chunks ? text("%zx\r\n", data.size()) + data + "\r\n" : data;
}

// Runs a stream; returns whether its connection can be used again.
static bool run(int fd, const message &m)
{
	std::string request = m.get("request-id");
	long n = atol(m.get("last-event-id").c_str());
	int64_t next = now_ms() + prompt_ms;

	say("begins", request, n);
	if (!send_all(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + request +
				  "\r\nResponse-Signature: " + id + "." +
				  request +
				  "\r\nWeight-Versions: 1\r\nContent-Type: "
				  "text/event-stream\r\n" +
				  (chunks ? "Transfer-Encoding: chunked\r\n"
					  : "Connection: close\r\n") +
				  "\r\n"))
		return false;
	while (n < n_events) {
		sleep_ms(next - now_ms());
		next += event_ms;
		n++;
		if (is_closed(fd) ||
		    !send_all(fd, part(text("id: %ld\ndata: t%ld %s\n\n", n,
					    n, version.c_str())))) {
			say("dropped", request, n);
			return false;
		}
		if (n % 10 == 0)
			say("sent", request, n);
	}
	say("ends", request, n);
	if (chunks)
		return send_all(fd, "0\r\n\r\n");
	shutdown(fd, SHUT_WR);
	reader(fd).read(false, now_ms() + 1000);
	return false;
}

// Answers a request; returns whether its connection can be used again.
static bool answer(int fd, const message &m)
{
	std::string own = "Instance-Id: " + id + "\r\n";
	std::string expected = m.get("expected-instance");
	std::string report;

	if (m.target() == "/report") {
		report = text("{\"stage\":\"colocated\",\"models\":[{\"name\":"
			      "\"m\",\"version\":1,\"adapters\":[]}],\"busy\":"
			      "false,\"sequence\":1,\"waiting\":0,\"running\":1,"
			      "\"kvUsed\":9000,\"kvTotal\":55000,\"handles\":0,"
			      "\"born\":%lld}",
			      born);
		return send_all(fd, text("HTTP/1.1 200 OK\r\nContent-Type: "
					 "application/json\r\nContent-Length: "
					 "%zu\r\n\r\n",
					 report.size()) +
					    report);
	}
	if (m.target() == "/healthz")
		return send_all(fd, "HTTP/1.1 200 OK\r\n" + own +
					    "Content-Length: 0\r\n\r\n");
	if (!expected.empty() && expected != id)
		return send_all(fd, "HTTP/1.1 421 Misdirected Request\r\n" +
					    own + "Content-Length: 0\r\n\r\n");
	if (m.get("request-id").empty())
		return send_all(fd, "HTTP/1.1 400 Bad Request\r\nNot-Executed: "
				    "1\r\nContent-Length: 0\r\n\r\n");
	return run(fd, m);
}

int main(int argc, char **argv)
{
	std::string address;
	int fd;

	if (argc != 9)
		return 2;
	id = argv[1];
	address = argv[2];
	born = atoll(argv[3]);
	prompt_ms = atoi(argv[4]);
	event_ms = atoi(argv[5]);
	n_events = atoi(argv[6]);
	version = argv[7];
	chunks = !strcmp(argv[8], "chunks");
	signal(SIGPIPE, SIG_IGN);
	fd = listen_on(address);
	if (fd < 0)
		return 1;
	say("listens", id, 0);
	serve(fd, [](int c) {
		reader r(c);

		for (;;) {
			message m = r.read(false, now_ms() + 60000);

			if (!m.whole || !answer(c, m))
				return;
		}
	});
	for (;;)
		pause();
}
