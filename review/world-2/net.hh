// Sockets, HTTP messages and clocks shared by the stand-ins of the second
// review.  Blocking calls in threads; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

inline int64_t clock_ms(clockid_t id)
{
	timespec t;

	clock_gettime(id, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

inline int64_t now_ms()
{
	return clock_ms(CLOCK_MONOTONIC);
}

inline int64_t unix_ms()
{
	return clock_ms(CLOCK_REALTIME);
}

inline void sleep_ms(int64_t ms)
{
	if (ms > 0)
		usleep((useconds_t)(ms * 1000));
}

inline std::string text(const char *fmt, ...)
{
	char buf[8192];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(buf, sizeof(buf), fmt, ap);
	va_end(ap);
	return buf;
}

inline sockaddr_in address_of(const std::string &a)
{
	size_t colon = a.find(':');
	sockaddr_in s = {};

	s.sin_family = AF_INET;
	s.sin_port = htons((uint16_t)atoi(a.c_str() + colon + 1));
	inet_pton(AF_INET, a.substr(0, colon).c_str(), &s.sin_addr);
	return s;
}

// Listens on a loopback address; port 0 takes a free one.  Returns the socket
// and sets address to the one in use.
inline int listen_on(std::string &address, int backlog = 256)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in s = address_of(address);
	socklen_t len = sizeof(s);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (sockaddr *)&s, sizeof(s)) || listen(fd, backlog)) {
		close(fd);
		return -1;
	}
	getsockname(fd, (sockaddr *)&s, &len);
	address = address.substr(0, address.find(':')) + ":" +
		  std::to_string(ntohs(s.sin_port));
	return fd;
}

// Returns a loopback host that other processes hardly use.
inline std::string own_host()
{
	static const int pid = getpid();

	return text("127.%d.%d.%d", 64 + (pid >> 16 & 63), pid >> 8 & 255,
		    1 + (pid & 255) % 254);
}

// Returns a loopback address with a port that is free now, for TCP and UDP.
inline std::string free_address()
{
	static std::map<std::string, bool> given;

	for (;;) {
		std::string a = own_host() + ":0";
		int tcp = listen_on(a);
		int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		sockaddr_in s = address_of(a);
		int rc = bind(udp, (sockaddr *)&s, sizeof(s));

		close(tcp);
		close(udp);
		if (!rc && !given[a]) {
			given[a] = true;
			return a;
		}
	}
}

inline int connect_to(const std::string &address, int timeout_ms = 1000)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	sockaddr_in s = address_of(address);
	int one = 1;
	int error = 0;
	socklen_t len = sizeof(error);
	pollfd p = { fd, POLLOUT, 0 };

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (sockaddr *)&s, sizeof(s)) && errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	if (poll(&p, 1, timeout_ms) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error) {
		close(fd);
		return -1;
	}
	return fd;
}

inline bool send_all(int fd, const std::string &data)
{
	size_t done = 0;

	while (done < data.size()) {
		ssize_t n = send(fd, data.data() + done, data.size() - done,
				 MSG_NOSIGNAL);
		pollfd p = { fd, POLLOUT, 0 };

		if (n > 0)
			done += (size_t)n;
		else if (n < 0 && (errno == EAGAIN || errno == EINTR))
			poll(&p, 1, 1000);
		else
			return false;
	}
	return true;
}

// One HTTP message, as it was read.
struct message {
	std::string line; // first line
	std::map<std::string, std::string> headers; // names in lower case
	std::string body;
	bool head = false; // the head was read whole
	bool whole = false; // so was the body, by its framing
	bool reset = false; // the connection ended by a reset

	std::string get(const std::string &name) const
	{
		auto i = headers.find(name);

		return i == headers.end() ? "" : i->second;
	}
	int status() const
	{
		return line.size() > 12 ? atoi(line.c_str() + 9) : 0;
	}
	std::string target() const
	{
		size_t a = line.find(' ');
		size_t b = line.rfind(' ');

		return a < b ? line.substr(a + 1, b - a - 1) : "";
	}
};

// Reads messages from a connection.
class reader {
	int fd;
	std::string input;

	// Returns false at the end of the connection or of the time.
	bool more(message &m, int64_t until)
	{
		char buf[65536];
		pollfd p = { fd, POLLIN, 0 };
		int64_t left = until - now_ms();
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)left) != 1)
			return false;
		n = recv(fd, buf, sizeof(buf), 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		m.reset = n < 0;
		if (n <= 0)
			return false;
		input.append(buf, (size_t)n);
		return true;
	}

public:
	bool ended = false;

	explicit reader(int f) : fd(f)
	{
	}

	// Reads a message; on_body is called with each part of the body as it
	// comes.  A body without a length is whole with an orderly end.
	message read(bool response, int64_t until,
		     const std::function<void(const std::string &)> &on_body =
			     {})
	{
		message m;
		size_t end;
		size_t pos;
		long left = -1;
		bool chunked;

		while ((end = input.find("\r\n\r\n")) == std::string::npos)
			if (!more(m, until)) {
				ended = true;
				return m;
			}
		m.line = input.substr(0, input.find("\r\n"));
		for (pos = m.line.size() + 2; pos < end;) {
			size_t eol = input.find("\r\n", pos);
			std::string l = input.substr(pos, eol - pos);
			size_t colon = l.find(':');
			std::string name = l.substr(0, colon);
			size_t v = l.find_first_not_of(' ', colon + 1);

			for (char &c : name)
				c = (char)tolower(c);
			m.headers[name] = v == std::string::npos ? ""
								 : l.substr(v);
			pos = eol + 2;
		}
		input.erase(0, end + 4);
		m.head = true;
		chunked = !strcasecmp(m.get("transfer-encoding").c_str(),
				      "chunked");
		if (m.headers.count("content-length"))
			left = atol(m.get("content-length").c_str());
		else if (!response && !chunked)
			left = 0;
		if (chunked) {
			while (read_chunk(m, until, on_body))
				;
			return m;
		}
		while (left != 0) {
			size_t n = left < 0 || (size_t)left > input.size()
					   ? input.size()
					   : (size_t)left;

			if (n && on_body)
				on_body(input.substr(0, n));
			m.body += input.substr(0, n);
			input.erase(0, n);
			if (left > 0)
				left -= (long)n;
			if (left != 0 && !more(m, until)) {
				ended = true;
				m.whole = left < 0 && !m.reset &&
					  now_ms() < until;
				return m;
			}
		}
		m.whole = true;
		return m;
	}

private:
	bool read_chunk(message &m, int64_t until,
			const std::function<void(const std::string &)> &on_body)
	{
		size_t eol;
		size_t n;

		while ((eol = input.find("\r\n")) == std::string::npos)
			if (!more(m, until)) {
				ended = true;
				return false;
			}
		n = strtoul(input.c_str(), NULL, 16);
		while (input.size() < eol + 2 + n + 2)
			if (!more(m, until)) {
				ended = true;
				return false;
			}
		if (n && on_body)
			on_body(input.substr(eol + 2, n));
		m.body += input.substr(eol + 2, n);
		input.erase(0, eol + 2 + n + 2);
		m.whole = !n;
		return n > 0;
	}
};

// Calls handle for each connection of a listener, each in its own thread.
inline void serve(int listener, const std::function<void(int)> &handle)
{
	std::thread([listener, handle] {
		for (;;) {
			int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
			int one = 1;

			if (fd < 0 && errno != EINTR && errno != ECONNABORTED)
				return;
			if (fd < 0)
				continue;
			setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one,
				   sizeof(one));
			std::thread([fd, handle] {
				handle(fd);
				close(fd);
			}).detach();
		}
	}).detach();
}

inline std::string base64(const std::string &in)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		"0123456789+/";
	std::string out;
	size_t i;

	for (i = 0; i < in.size(); i += 3) {
		uint32_t v = (uint32_t)(uint8_t)in[i] << 16;
		size_t n = in.size() - i;

		if (n > 1)
			v |= (uint32_t)(uint8_t)in[i + 1] << 8;
		if (n > 2)
			v |= (uint8_t)in[i + 2];
		out += digits[v >> 18];
		out += digits[v >> 12 & 63];
		out += n > 1 ? digits[v >> 6 & 63] : '=';
		out += n > 2 ? digits[v & 63] : '=';
	}
	return out;
}
