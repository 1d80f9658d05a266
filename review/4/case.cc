// BUDGET: a part of a prompt that crashes workers goes unnoticed if more than 32
// parts stand before it.
#include "../world/world.hh"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <unistd.h>

using namespace world;

namespace {

constexpr int ENGINES = 8;
constexpr int SHARED_PARTS = 40; // before the request's own
constexpr int CONTACT_MS = 3000; // contactMs
constexpr int DOWN_MS = 2500; // from a crash to the restart

const char *configuration =
	"{\"version\":3,\"routes\":["
	"{\"name\":\"write\",\"hostname\":\"svc.example\",\"pathPrefix\":"
	"\"/write/\",\"routeType\":\"streaming\",\"timeoutMs\":25000,"
	"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"priority\":1,"
	"\"backend\":\"llm\",\"maxAttempts\":5,\"public\":false,"
	"\"sticky\":true,\"resumable\":true}],"
	"\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\","
	"\"maxConnections\":290,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
	"\"slots\":48,\"kvCapacity\":55000,\"kvTokenBytes\":163840,"
	"\"linkMbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":9,"
	"\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":4.0,"
	"\"models\":[{\"name\":\"m\"}]}}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	"\"tenants\":[{\"name\":\"ajoke\",\"apiKeys\":[\"k-ajoke-1\"],"
	"\"priority\":1}]}";

std::atomic<bool> stopping{false};
std::atomic<int> complete{0}, begun{0};
std::mutex crash_mutex;
std::vector<int64_t> crashes, arrivals; // of requests with the bad part

// The prompt's parts: SHARED_PARTS that all requests have and one of its own; a
// bad one has the part that crashes workers in the place of one of the shared.
std::string prompt(bool bad, int place)
{
	std::string out;

	for (int i = 0; i < SHARED_PARTS; i++)
		out += (bad && i == place ? std::string("badbad01")
					  : "5c1e07" + std::to_string(10 + i)) +
		       ":100,";
	return out + unique_id("") + ":250";
}

void write(const std::string &addr, bool bad, int place)
{
	std::string id = unique_id("r");
	size_t events = 0;
	stream_result r = read_stream(
		addr, "/write/1",
		{{"Request-Id", id},
		 {"Deadline-Ms", "25000"},
		 {"Credential", "k-ajoke-1"},
		 {"Model", "m"},
		 {"Token-Usage", "4250,200"},
		 {"Prompt-Prefix", prompt(bad, place)}},
		id, 25000, [&](uint64_t, const std::string &) {
			events++;
			return true;
		});

	record("client: %s, %s: %d, %zu events%s", id.c_str(),
	       bad ? "with the part" : "sound", r.status, events,
	       r.complete ? ", complete" : ", broken off");
	if (!bad) {
		begun++;
		complete += r.complete && r.status == 200;
	}
}

} // namespace

int main(int argc, char **argv)
{
	std::string dir = argc > 1 ? argv[1] : ".";
	int place = getenv("PLACE") ? atoi(getenv("PLACE")) : 35;
	std::vector<std::unique_ptr<worker>> workers;
	std::vector<std::thread> clients, keepers;
	instance one, two;
	store st;
	int late = 0;

	record_open(dir + "/record.txt");
	make_temp_dir();
	st.put("op", "config", configuration);
	for (int i = 0; i < ENGINES; i++) {
		workers.push_back(std::make_unique<worker>());
		worker *w = workers.back().get();

		w->st = &st;
		w->service = "llm";
		w->engine = true;
		w->id = unique_id("i-");
		w->first_event_ms = 300;
		w->event_ms = 30;
		auto doomed = std::make_shared<std::atomic<bool>>(false);

		// it crashes as it begins to write an answer on the part
		w->on_run = [w, doomed](const message &m) {
			if (m.get("prompt-prefix").find("badbad01") ==
			    std::string::npos)
				return;
			{
				std::lock_guard<std::mutex> g(crash_mutex);
				arrivals.push_back(now_ms());
			}
			sleep_ms(250);
			*doomed = true;
		};
		w->start();
		w->put_entry("ready");
		keepers.emplace_back([w, doomed] {
			while (!stopping) {
				sleep_ms(5);
				if (!*doomed)
					continue;
				{
					std::lock_guard<std::mutex> g(
						crash_mutex);
					crashes.push_back(now_ms());
				}
				w->crash();
				sleep_ms(DOWN_MS);
				*doomed = false;
				w->drop_entry();
				w->id = unique_id("i-");
				w->start();
				w->put_entry("ready");
			}
		});
	}
	one.prepare("one", st.add_link());
	two.prepare("two", st.add_link());
	for (auto *in : {&one, &two}) {
		in->seeds = {loopback(one.control), loopback(two.control)};
		in->start();
	}
	if (!one.wait_ready(5000) || !two.wait_ready(5000)) {
		clean_up({&one, &two}, "");
		_exit(2);
	}
	sleep_ms(2000);
	for (int i = 0; i < 110; i++) {
		std::string addr = loopback(i % 2 ? one.callers : two.callers);
		bool bad = trouble() && i % 3 == 2;

		clients.emplace_back([=] { write(addr, bad, place); });
		sleep_ms(400);
	}
	for (auto &t : clients)
		t.join();
	stopping = true;
	for (auto &t : keepers)
		t.join();
	if (crashes.size() >= 5)
		for (auto at : arrivals)
			late += at > crashes[4] + CONTACT_MS;
	record("%zu requests with the part reached workers, %zu crashes, %d "
	       "arrivals later than contactMs after the fifth crash (3 are "
	       "allowed); %d of %d sound streams complete",
	       arrivals.size(), crashes.size(), late, (int)complete,
	       (int)begun);
	clean_up({&one, &two}, getenv("KEEP") ? getenv("KEEP") : "");
	fflush(nullptr);
	_exit(late > 3 ? 1 : complete < 10 ? 2 : 0);
}
