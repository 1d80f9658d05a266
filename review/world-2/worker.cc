// A worker of a plain service: worker ID ADDRESS WORK_MS REST_MS.  It works
// WORK_MS on a POST request, then sends its answer without a length: the head
// and one half of the body, and REST_MS later the other half and the end of the
// connection.  GET requests are answered at once, with a length.  Prints what it
// runs.
#include "net.hh"

static std::string id;
static int work_ms, rest_ms;

static void say(const char *what, const std::string &request)
{
	std::string line = text("%s %s\n", what, request.c_str());

	if (write(1, line.data(), line.size()) < 0)
		_exit(1);
}

// The body of the answer to a request: 4,800 bytes.
static std::string body_of(const std::string &request)
{
	std::string body;
	int i;

	for (i = 0; body.size() < 4800; i++)
		body += text("%s %06d;", request.c_str(), i);
	return body.substr(0, 4800);
}

static bool answer(int fd, const message &m)
{
	std::string request = m.get("request-id");
	std::string own = "Instance-Id: " + id + "\r\n";
	std::string expected = m.get("expected-instance");
	std::string signed_head;
	std::string body;

	if (m.target() == "/healthz")
		return send_all(fd, "HTTP/1.1 200 OK\r\n" + own +
					    "Content-Length: 0\r\n\r\n");
	if (!expected.empty() && expected != id)
		return send_all(fd, "HTTP/1.1 421 Misdirected Request\r\n" +
					    own + "Content-Length: 0\r\n\r\n");
	if (request.empty())
		return send_all(fd, "HTTP/1.1 400 Bad Request\r\nNot-Executed: "
				    "1\r\nContent-Length: 0\r\n\r\n");
	say("runs", request);
	sleep_ms(work_ms);
	body = body_of(request);
	signed_head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request +
		      "\r\nResponse-Signature: " + id + "." + request +
		      "\r\n";
	if (!m.line.compare(0, 4, "GET ")) {
		say("done", request);
		return send_all(fd, signed_head +
					    text("Content-Length: %zu\r\n\r\n",
						 body.size()) +
					    body);
	}
	send_all(fd, signed_head + "Connection: close\r\n\r\n" +
			     body.substr(0, body.size() / 2));
	say("half", request);
	sleep_ms(rest_ms);
	send_all(fd, body.substr(body.size() / 2));
	say("done", request);
	shutdown(fd, SHUT_WR);
	return false;
}

int main(int argc, char **argv)
{
	std::string address;
	int fd;

	if (argc != 5)
		return 2;
	id = argv[1];
	address = argv[2];
	work_ms = atoi(argv[3]);
	rest_ms = atoi(argv[4]);
	signal(SIGPIPE, SIG_IGN);
	fd = listen_on(address);
	if (fd < 0)
		return 1;
	say("listens", id);
	serve(fd, [](int c) {
		reader r(c);

		for (;;) {
			message m = r.read(false, now_ms() + 60000);

			if (!m.whole)
				return;
			if (!answer(c, m)) {
				message rest;

				r.read(false, now_ms() + 1000);
				return;
			}
		}
	});
	for (;;)
		pause();
}
