// LOST: streams of an instance that was cut off from the store when it ended are
// refused when their clients take them up, as their version stands nowhere.
#include "../world/world.hh"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <unistd.h>

using namespace world;

namespace {

constexpr int ENGINES = 6; // of version v1
constexpr int ADDED = 2; // of version v2: scale_out, share = 0.3
constexpr int STREAMS = 24;
constexpr int CUT_MS = 5500; // core_cut, count = 1, for_s = 5.5

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

// A client's stream over all its attempts.
struct stream {
	std::string first_id; // of the attempt that brought the first event
	std::string version; // of the software that wrote that event
	uint64_t received = 0;
	bool mixed = false; // holds an event of another version
	bool wrong = false; // an event is missing or comes twice
	bool complete = false;
	int status = 0; // of the last attempt
};

// Sends one attempt of a stream; it goes on after the last event received.
void attempt(stream &s, const instance &in)
{
	std::string id = unique_id("r");
	std::vector<std::pair<std::string, std::string>> h = {
		{"Request-Id", id},
		{"Deadline-Ms", "25000"},
		{"Credential", "k-ajoke-1"},
		{"Model", "m"},
		{"Token-Usage", "600,200"},
		{"Prompt-Prefix", unique_id("") + ":200," + unique_id("") +
					  ":400"}};
	uint64_t before = s.received;

	if (s.received) {
		h.emplace_back("Last-Event-Id", std::to_string(s.received));
		h.emplace_back("Resumes", s.first_id);
	}
	stream_result r = read_stream(
		loopback(in.callers), "/write/1", h, "draft", 25000,
		[&](uint64_t n, const std::string &data) {
			char version[16] = "";

			sscanf(data.c_str(), "%*s %15s", version);
			if (!s.received) {
				s.first_id = id;
				s.version = version;
			}
			if (s.version != version && !s.mixed) {
				s.mixed = true;
				record("client: stream %s, begun by %s: event "
				       "%s, in attempt %s at %s",
				       s.first_id.c_str(), s.version.c_str(),
				       data.c_str(), id.c_str(),
				       in.name.c_str());
			}
			if (n != s.received + 1)
				s.wrong = true;
			s.received = n;
			return true;
		});
	s.status = r.status;
	s.complete = r.complete && r.status == 200;
	record("client: attempt %s at %s, stream %s of %s: status %d, events "
	       "%llu to %llu%s",
	       id.c_str(), in.name.c_str(), s.first_id.c_str(),
	       s.version.c_str(), r.status, (unsigned long long)before + 1,
	       (unsigned long long)s.received,
	       s.complete ? ", complete" : ", broken off");
}

} // namespace

int main(int argc, char **argv)
{
	std::string dir = argc > 1 ? argv[1] : ".";
	std::vector<std::unique_ptr<worker>> workers;
	std::vector<std::thread> clients;
	std::vector<stream> streams(STREAMS);
	std::vector<stream *> again;
	std::mutex count_mutex;
	instance one, two, three;
	store st;
	std::vector<stream> fresh(STREAMS);
	int taken_up = 0, gone_on = 0, refused = 0, begun = 0;

	record_open(dir + "/record.txt");
	make_temp_dir();
	st.put("op", "config", configuration);
	auto add = [&](const char *version) {
		workers.push_back(std::make_unique<worker>());
		worker *w = workers.back().get();

		w->st = &st;
		w->service = "llm";
		w->engine = true;
		w->id = unique_id("i-");
		w->version = version;
		w->first_event_ms = 120; // 600 tokens
		w->start();
		w->put_entry("ready");
	};
	for (int i = 0; i < ENGINES; i++)
		add("v1");
	for (auto *in : {&one, &two, &three})
		in->prepare(in == &one	 ? "one"
			    : in == &two ? "two"
					 : "three",
			    st.add_link());
	for (auto *in : {&one, &two, &three}) {
		in->seeds = {loopback(one.control), loopback(two.control),
			     loopback(three.control)};
		in->start();
	}
	if (!one.wait_ready(5000) || !two.wait_ready(5000) ||
	    !three.wait_ready(5000)) {
		clean_up({&one, &two, &three}, "");
		_exit(2);
	}
	sleep_ms(4000);
	int64_t began = now_ms();
	bool cut = trouble() && !getenv("KILL_ONLY");

	if (cut) {
		record("instance two is cut off from the store");
		two.link->mode = LINK_SILENT;
	}
	sleep_until(began + 1200);
	for (auto &s : streams)
		clients.emplace_back([&] {
			attempt(s, two);
			if (s.complete || !s.received)
				return;
			// a broken connection: at another instance
			std::lock_guard<std::mutex> g(count_mutex);
			again.push_back(&s);
		});
	sleep_until(began + 1500);
	for (int i = 0; i < ADDED; i++)
		add("v2");
	sleep_until(began + 3200);
	if (trouble()) {
		two.signal(SIGKILL);
		two.wait_end(1000);
	}
	for (auto &t : clients)
		t.join();
	clients.clear();
	for (auto *s : again)
		clients.emplace_back([&, s] {
			bool odd = (s - streams.data()) % 2;

			attempt(*s, odd ? one : three);
			if (s->status != 503)
				return;
			sleep_ms(500); // the client's one retry
			attempt(*s, odd ? three : one);
		});
	// new streams at the same machines, for the rule's comparison
	for (auto &s : fresh)
		clients.emplace_back([&] {
			attempt(s, (&s - fresh.data()) % 2 ? one : three);
		});
	sleep_until(began + 4200);
	if (trouble())
		two.start();
	sleep_until(began + CUT_MS);
	if (cut) {
		record("instance two reaches the store again");
		two.link->mode = LINK_OPEN;
	}
	for (auto &t : clients)
		t.join();
	taken_up = (int)again.size();
	for (auto *s : again) {
		gone_on += s->complete;
		refused += s->status == 503;
	}
	for (auto &s : fresh)
		begun += s.received > 0;
	record("%d streams taken up at the other two instances: %d gone on, %d "
	       "refused with 503; %d of %d new ones begun there",
	       taken_up, gone_on, refused, begun, STREAMS);
	clean_up({&one, &two, &three}, getenv("KEEP") ? getenv("KEEP") : "");
	fflush(nullptr);
	if (begun < STREAMS / 2 || (trouble() && taken_up < 12))
		_exit(2);
	// the share that goes on is under half of that of new ones that begin
	_exit(taken_up >= 12 && 2 * gone_on * STREAMS < begun * taken_up);
}
