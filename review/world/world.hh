// Stand-ins for the review: the store and the workers of the platform's pages,
// clients, and the processes under test.  One process, a thread for each
// connection, loopback addresses and the real clock only.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

// Milliseconds since the start of the case, by the steady clock.
int64_t now_ms();
void sleep_ms(int64_t ms);
void sleep_until(int64_t ms);

// record.txt: one line for each thing that was sent, answered or run.
void record_open(const std::string &path);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

bool trouble(); // false with TROUBLE=0

struct message {
	std::string method; // of a request
	std::string target;
	int status = 0; // of an answer
	std::vector<std::pair<std::string, std::string>> headers;
	std::string body;

	const std::string *find(const char *name) const;
	std::string get(const char *name) const; // "" if it is absent
};

// A connection with a read buffer.
struct conn {
	int fd = -1;
	std::string in;
	std::atomic<bool> closed{false};
	bool silent = false; // the store answers nothing on it any more

	~conn();
	bool send(const std::string &bytes);
	bool fill(int timeout_ms); // reads more; false at the end or in vain
	bool read_head(message &m, bool request, int timeout_ms);
	bool read_body(message &m, int timeout_ms);
	void shut();
	void reset(); // the peer gets a reset
};

// An HTTP server at one address.
class server {
    public:
	using handler = std::function<void(conn &c, message &m)>;

	server(int port, handler h);
	~server();
	void stop(); // as at the end of its process
	int port() const { return port_; }
	std::string address() const;

    private:
	void accept_all();
	int port_;
	int fd_;
	handler handler_;
	std::mutex mutex_;
	std::set<std::shared_ptr<conn>> conns_;
	std::atomic<bool> stopped_{false};
	std::thread thread_;
};

int free_port();
std::string loopback(int port);

// The platform's store.  Each instance reaches it by a link of its own.
enum link_mode {
	LINK_OPEN,
	LINK_SILENT, // nothing passes
	LINK_BUSY, // 503 to every call
};

class store;

struct store_link {
	std::atomic<int> mode{LINK_OPEN};
	// while set, connections with a call that waits for changes of the
	// table of the configuration go silent for good
	std::atomic<bool> hush{false};
	std::atomic<int> hushed{0}; // how many have
	std::unique_ptr<server> srv;
};

class store {
    public:
	store();
	~store();
	store_link &add_link();
	void put(const std::string &table, const std::string &key,
		 const std::string &value);
	void remove(const std::string &table, const std::string &key);
	bool has(const std::string &table, const std::string &key);
	void end();

    private:
	struct row {
		std::string table, part, key, value;
		uint64_t ver;
		bool deleted;
	};
	void serve(store_link &l, conn &c, message &m);
	std::string rows_get(const std::map<std::string, std::string> &q);
	std::string rows_feed(const std::map<std::string, std::string> &q,
			      store_link &l, conn &c);
	int rows_tx(const std::string &body, std::string &out);
	void write(const std::string &table, const std::string &part,
		   const std::string &key, const std::string &value,
		   bool deleted);
	void append_row(std::string &out, const row &r, bool first);

	std::mutex mutex_;
	std::condition_variable changed_;
	std::map<std::vector<std::string>, row> rows_;
	uint64_t version_ = 1;
	std::atomic<bool> ended_{false};
	std::vector<std::unique_ptr<store_link>> links_;
};

// A worker: a plain service, or a model engine if it writes events.
struct worker {
	store *st = nullptr;
	std::string id, service, zone = "z1", version = "v1";
	int port = 0;
	bool engine = false;
	int64_t born = 0; // Unix ms
	std::atomic<int> work_ms{30};
	std::atomic<int> first_event_ms{40};
	std::atomic<int> event_ms{50};
	int events = 60;
	std::function<std::string(const message &)> extra; // header lines
	std::function<void(const message &)> on_run; // before it works

	void start();
	void crash();
	void put_entry(const char *state);
	void drop_entry();
	bool up() const { return (bool)srv; }
	std::string address() const { return loopback(port); }

	std::unique_ptr<server> srv;
	std::shared_ptr<std::atomic<bool>> alive;

    private:
	void serve(conn &c, message &m);
	void run_stream(conn &c, message &m, std::atomic<bool> &alive_now);
};

// A run, as the workers saw it.
struct run {
	int64_t at_ms;
	std::string id, target, worker, service, version;
};
std::vector<run> runs();
void note_run(const run &r);

std::string unique_id(const char *prefix);
int64_t unix_ms();

// A process of the system.
struct instance {
	std::string name, zone = "z1";
	int callers, readiness, directory, metrics, control, peers;
	store_link *link = nullptr;
	std::vector<std::string> seeds;
	std::string extra; // settings lines
	int pid = -1;
	std::string log;

	void prepare(const std::string &name_, store_link &l);
	void start();
	void signal(int number);
	bool wait_ready(int64_t ms);
	int wait_end(int64_t ms); // -1: still running
	void kill_now();
};

extern std::string temp_dir;
void make_temp_dir();
void clean_up(std::vector<instance *> all, const std::string &keep_logs);

// One request of a client on a connection of its own or a kept one.
struct answer {
	bool complete = false;
	int status = 0; // 0: none
	message head;
	std::string body;
};
struct client {
	std::unique_ptr<conn> kept;
	std::string address;
	answer call(const std::string &addr, const std::string &method,
		    const std::string &target,
		    const std::vector<std::pair<std::string, std::string>> &h,
		    const std::string &body, int timeout_ms);
};

// A stream of a client; events are passed on as "id" and "data".
struct stream_result {
	int status = 0;
	bool complete = false;
};
stream_result read_stream(
	const std::string &addr, const std::string &target,
	const std::vector<std::pair<std::string, std::string>> &h,
	const std::string &body, int timeout_ms,
	const std::function<bool(uint64_t id, const std::string &data)> &event);

} // namespace world
