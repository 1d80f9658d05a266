// Case 8: streams without a length, of a route that does not resume, whose
// engine is partitioned, crashes behind the cut and starts again under its id.
// See claim.txt.
#include "../world-2/platform.hh"

// figures of austral-despacho: informe-falla, redactor-tecnico
static const int deadline_ms = 25000;
static const int prompt_ms = 1040; // 5,200 tokens, 5 a ms
static const int event_ms = 31;
static const int n_events = 130;
static const int heartbeat_ms = 1200;
static const int n_engines = 6;
static const int n_streams = 18; // of a round
static const int rounds = 4;

// after the streams have begun
static const int cut_after_ms = 1200;
static const int crash_after_ms = 1300;
static const int start_after_ms = 2200;
static const int heal_after_ms = 3200;
// of TCP, for what is sent again after a cut: its least timer, and steps
// between connections
static const int resume_ms = 200;
static const int resume_step_ms = 100;

struct engine {
	std::string id, listens, zone;
	long long born;
	link_to *link;
	process proc;
};

static record *rec;
static store *platform;
static std::mutex lock;
static std::map<std::string, std::string> at; // request: its engine

static void start_engine(engine &e, const std::string &dir)
{
	std::string id = e.id;
	int fd;

	e.born = unix_ms();
	e.proc.start({ "build-review-2/engine", e.id, e.listens,
		       std::to_string(e.born), std::to_string(prompt_ms),
		       std::to_string(event_ms), std::to_string(n_events), "v1",
		       "unframed" },
		     dir + "/workers.log", true);
	fd = e.proc.out;
	std::thread([fd, id] {
		FILE *f = fdopen(fd, "r");
		char what[32], request[128];
		long n;

		while (fscanf(f, "%31s %127s %ld", what, request, &n) == 3) {
			std::lock_guard<std::mutex> g(lock);

			if (strcmp(what, "sent") != 0)
				rec->say("worker %s: %s %s %ld", id.c_str(),
					 what, request, n);
			if (!strcmp(what, "begins"))
				at[request] = id;
		}
		fclose(f);
	}).detach();
}

static void list_engine(const engine &e)
{
	platform->put(
		"servers", e.id,
		text("{\"backend\":\"redactor\",\"address\":\"%s\",\"zone\":"
		     "\"%s\",\"version\":\"v1\",\"slots\":64,\"state\":"
		     "\"ready\",\"coldRemainingMs\":0,\"stage\":\"colocated\","
		     "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":"
		     "[]}],\"sequence\":1,\"born\":%lld}",
		     e.link->address.c_str(), e.zone.c_str(), e.born));
	rec->say("store: servers/%s written, born %lld", e.id.c_str(), e.born);
}

// Returns the id of the last event in a body, checking that none is missing.
static long last_event(const std::string &body)
{
	size_t pos = 0;
	long n = 0;

	while ((pos = body.find("id: ", pos)) != std::string::npos) {
		if (atol(body.c_str() + pos + 4) != n + 1)
			return -1;
		n++;
		pos += 4;
	}
	return n;
}

int main(int argc, char **argv)
{
	const char *off = getenv("TROUBLE");
	bool trouble = !off || strcmp(off, "0") != 0;
	std::vector<engine> engines(n_engines);
	std::string dir;
	int broken = 0;
	int whole = 0;
	int i, k;

	if (argc != 3)
		return 2;
	dir = argv[1];
	signal(SIGPIPE, SIG_IGN);
	record r(argv[2]);
	rec = &r;
	store s;
	platform = &s;
	rec->say("disruption: %s", trouble ? "yes" : "no");
	s.put("op", "config",
	      "{\"version\":3,\"routes\":[{\"name\":\"r-draft\","
	      "\"hostname\":\"austral.example\",\"pathPrefix\":\"/draft/"
	      "\",\"routeType\":\"streaming\",\"timeoutMs\":25000,"
	      "\"targetLatencyMs\":4500,\"priority\":1,\"backend\":"
	      "\"redactor\",\"maxAttempts\":5,\"public\":false,"
	      "\"sticky\":true,\"resumable\":false,\"targetGapMs\":700}],"
	      "\"services\":[{\"name\":\"redactor\",\"healthPath\":"
	      "\"/healthz\",\"maxConnections\":370,\"protocol\":\"h1\","
	      "\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacity\":"
	      "55000,\"kvTokenBytes\":163840,\"linkMbps\":550000.0,"
	      "\"moves\":false,\"backups\":false,\"stride\":6,\"most\":12,"
	      "\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":4.0,"
	      "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{"
	      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	      "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key-1\"],"
	      "\"priority\":1}]}");
	for (k = 0; k < n_engines; k++) {
		engine &e = engines[k];

		e.id = text("i-%d", k + 1);
		e.zone = k % 2 ? "santiago-sur" : "santiago-norte";
		e.listens = free_address();
		e.link = new link_to(e.listens);
		e.link->resume_ms = resume_ms;
		e.link->resume_step_ms = resume_step_ms;
		start_engine(e, dir);
		list_engine(e);
	}
	instance one("front-1");
	instance two("front-2");
	std::string seeds = "\"" + one.control + "\", \"" + two.control + "\"";
	one.start(s, dir, seeds);
	two.start(s, dir, seeds);
	if (!one.wait_ready() || !two.wait_ready()) {
		rec->say("the instances did not become ready");
		return 2;
	}
	sleep_ms(1500);
	for (i = 0; i < rounds; i++) {
		std::vector<std::thread> clients;
		std::vector<message> got(n_streams);
		std::vector<std::string> requests(n_streams);
		std::map<std::string, int> load;
		engine *cut = NULL;
		int64_t begun;

		for (k = 0; k < n_streams; k++) {
			requests[k] = text("%016x", 0xd0000 + i * 100 + k);
			clients.emplace_back([&, i, k] {
				int fd = connect_to(one.callers);

				if (fd < 0)
					return;
				send_all(fd,
					 text("POST /draft/%d HTTP/1.1\r\nHost: "
					      "austral.example\r\nRequest-Id: "
					      "%s\r\nModel: m\r\nToken-Usage: "
					      "5200,780\r\nPrompt-Prefix: "
					      "aa01:200,%x:5000\r\nDeadline-Ms: "
					      "%d\r\nCredential: key-1\r\n"
					      "Content-Length: 5\r\n\r\ndraft",
					      i * 100 + k, requests[k].c_str(),
					      0xb000 + i * 100 + k,
					      deadline_ms));
				got[k] = reader(fd).read(true, now_ms() +
								       deadline_ms);
				close(fd);
			});
			sleep_ms(30);
		}
		sleep_ms(prompt_ms);
		begun = now_ms();
		{
			std::lock_guard<std::mutex> g(lock);

			for (k = 0; k < n_streams; k++)
				load[at[requests[k]]]++;
		}
		for (engine &e : engines)
			if (!cut || load[e.id] > load[cut->id])
				cut = &e;
		if (trouble) {
			sleep_ms(begun + cut_after_ms - now_ms());
			cut->link->cut();
			rec->say("worker %s, which runs %d streams, is "
				 "partitioned",
				 cut->id.c_str(), load[cut->id]);
			sleep_ms(begun + crash_after_ms - now_ms());
			cut->proc.kill_now();
			rec->say("worker %s crashes", cut->id.c_str());
			sleep_ms(begun + start_after_ms - now_ms());
			start_engine(*cut, dir);
			rec->say("it starts again");
			sleep_ms(begun + heal_after_ms - now_ms());
			cut->link->heal();
			rec->say("the cut heals");
			// its next heartbeat after the cut
			sleep_ms(heartbeat_ms);
			list_engine(*cut);
		}
		for (std::thread &t : clients)
			t.join();
		for (k = 0; k < n_streams; k++) {
			const message &m = got[k];
			long last = last_event(m.body);
			bool early = m.status() == 200 && m.whole &&
				     last != n_events;

			rec->say("%sclient: %s at %s: status %d, %s, %ld of %d "
				 "events",
				 early ? "ORDER: " : "", requests[k].c_str(),
				 at[requests[k]].c_str(), m.status(),
				 m.whole ? "ends as complete" : "broken off",
				 last, n_events);
			broken += early;
			whole += m.status() == 200 && m.whole && !early;
		}
		sleep_ms(500);
	}
	rec->say("%d of %d streams ended as complete before their last event, "
		 "%d were whole",
		 broken, rounds * n_streams, whole);
	one.proc.kill_now();
	two.proc.kill_now();
	for (engine &e : engines)
		e.proc.kill_now();
	fflush(NULL);
	if (!trouble && whole != rounds * n_streams)
		_exit(2);
	_exit(broken ? 1 : whole ? 0 : 2);
}
