// ROUTE: after a freeze an instance takes a worker of another service, which got
// the address of a worker that is gone, for that worker started again, and sends
// it bookings.
#include "../world/world.hh"

#include <csignal>
#include <cstdio>
#include <cstring>
#include <unistd.h>

using namespace world;

namespace {

constexpr int ENGINES = 14;
constexpr int BOOKING_WORKERS = 3;
constexpr int FREEZE_MS = 4000; // node_freeze, for_s = 4.0
constexpr int REUSE_MS = 2000; // reuseAfterS
constexpr int BOOKING_MS = 30;
constexpr int CLIENTS = 40;

std::atomic<bool> stopping{false};
std::atomic<int> served{0};

const char *configuration =
	"{\"version\":3,\"routes\":["
	"{\"name\":\"write\",\"hostname\":\"svc.example\",\"pathPrefix\":"
	"\"/write/\",\"routeType\":\"streaming\",\"timeoutMs\":25000,"
	"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"priority\":1,"
	"\"backend\":\"llm\",\"maxAttempts\":5,\"public\":false,"
	"\"sticky\":true,\"resumable\":true},"
	"{\"name\":\"book\",\"hostname\":\"svc.example\",\"pathPrefix\":\"/book/"
	"\",\"routeType\":\"non_idempotent\",\"timeoutMs\":600,"
	"\"targetLatencyMs\":100,\"priority\":2,\"backend\":\"booking\","
	"\"maxAttempts\":1,\"public\":false}],"
	"\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\","
	"\"maxConnections\":290,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
	"\"slots\":48,\"kvCapacity\":55000,\"kvTokenBytes\":163840,"
	"\"linkMbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":9,"
	"\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":4.0,"
	"\"models\":[{\"name\":\"m\"}]}},"
	"{\"name\":\"booking\",\"healthPath\":\"/healthz\","
	"\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	"\"tenants\":[{\"name\":\"ajoke\",\"apiKeys\":[\"k-ajoke-1\"],"
	"\"priority\":1}]}";

// Sends bookings one after the other to one instance.
void book(const std::string &addr, const std::string &target, int pause_ms,
	  int seed)
{
	client c;

	sleep_ms(seed * 37 % pause_ms);
	while (!stopping) {
		std::string id = unique_id("r");
		int64_t sent = now_ms();
		answer a = c.call(addr, "POST", target,
				  {{"Request-Id", id},
				   {"Deadline-Ms", "600"},
				   {"Credential", "k-ajoke-1"}},
				  "book", 600);

		record("client: %s %s sent at %.3f: %d %s", id.c_str(),
		       target.c_str(), (double)sent / 1000, a.status,
		       a.body.substr(0, 60).c_str());
		served += a.status == 200;
		sleep_ms(pause_ms + (seed * 131 + (int)now_ms()) % 100);
	}
}

} // namespace

int main(int argc, char **argv)
{
	std::string dir = argc > 1 ? argv[1] : ".";
	std::vector<std::unique_ptr<worker>> workers;
	std::vector<std::thread> clients;
	std::atomic<int64_t> ran_ms[BOOKING_WORKERS] = {};
	instance one, two;
	store st;
	int wrong = 0;

	record_open(dir + "/record.txt");
	make_temp_dir();
	st.put("op", "config", configuration);
	auto add = [&](const char *service, int port) {
		workers.push_back(std::make_unique<worker>());
		worker *w = workers.back().get();

		w->st = &st;
		w->service = service;
		w->engine = !strcmp(service, "llm");
		w->id = unique_id("i-");
		w->port = port;
		w->work_ms = BOOKING_MS;
		w->start();
		w->put_entry("ready");
		return w;
	};
	for (int i = 0; i < ENGINES + BOOKING_WORKERS; i++)
		add(i < BOOKING_WORKERS ? "booking" : "llm", 0);
	for (int i = 0; i < BOOKING_WORKERS; i++)
		workers[i]->on_run = [&, i](const message &m) {
			if (m.target == "/book/one")
				ran_ms[i] = now_ms();
		};
	worker &gone_booking = *workers[0];
	worker &gone_llm = *workers[BOOKING_WORKERS];
	one.prepare("one", st.add_link());
	two.prepare("two", st.add_link());
	one.seeds = {loopback(one.control), loopback(two.control)};
	two.seeds = one.seeds;
	one.start();
	two.start();
	if (!one.wait_ready(5000) || !two.wait_ready(5000)) {
		clean_up({&one, &two}, "");
		_exit(2);
	}
	for (int i = 0; i < CLIENTS; i++)
		clients.emplace_back([&, i] {
			if (i % 2)
				book(loopback(two.callers), "/book/two", 300, i);
			else
				book(loopback(one.callers), "/book/one", 300, i);
		});
	sleep_ms(4000);
	if (trouble()) {
		// the machine freezes while it has a booking at each worker
		auto busy = [&] {
			for (auto &r : ran_ms)
				if (now_ms() - r > BOOKING_MS / 2)
					return false;
			return true;
		};
		int64_t until = now_ms() + 20000;

		while (!busy() && now_ms() < until)
			sleep_ms(1);
		one.signal(SIGSTOP);
		int64_t frozen = now_ms();

		sleep_until(frozen + 400);
		gone_llm.crash();
		gone_booking.crash();
		int64_t gone = now_ms();

		// the addresses serve the other service, reuseAfterS later
		sleep_until(gone + REUSE_MS + 100);
		add("booking", gone_llm.port);
		sleep_until(gone + REUSE_MS + 500);
		add("llm", gone_booking.port);
		sleep_until(frozen + FREEZE_MS);
		one.signal(SIGCONT);
		sleep_until(gone + 3600); // three heartbeats of 1.2 s
		gone_llm.drop_entry();
		gone_booking.drop_entry();
		sleep_ms(3000);
	} else {
		sleep_ms(7000);
	}
	stopping = true;
	for (auto &t : clients)
		t.join();
	for (auto &r : runs())
		if (r.service != "booking") {
			record("BROKEN: %s %s ran at worker %s of service %s",
			       r.id.c_str(), r.target.c_str(), r.worker.c_str(),
			       r.service.c_str());
			wrong++;
		}
	record("%zu runs, %d bookings served, %d run by another service",
	       runs().size(), (int)served, wrong);
	clean_up({&one, &two}, getenv("KEEP") ? getenv("KEEP") : "");
	fflush(nullptr);
	_exit(wrong ? 1 : served < 50 ? 2 : 0);
}
