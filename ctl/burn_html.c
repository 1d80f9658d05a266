/*
 * The burn report as a self-contained HTML page, with a plot of the burn rate
 * over the last six hours for each objective.
 */
#include <stdio.h>
#include <time.h>

#include "ctl/burn.h"

#define PLOT_WIDTH_PX 720 /* two per minute */
#define PLOT_HEIGHT_PX 120
#define PLOT_RATE_MAX 20.0 /* higher burn rates are clipped */
#define PLOT_WINDOW_MINUTES 5

static const char *const page_head =
	"<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
	"<title>Service-level burn</title>\n<style>\n"
	"body{font-family:sans-serif;max-width:800px;margin:2em auto}\n"
	"svg{border:1px solid #ccc;background:#fafafa}\n"
	"td,th{padding:0 1em 0 0;text-align:left}\n"
	".page{color:#b00}.ticket{color:#a60}.ok{color:#070}\n"
	"</style></head><body>\n<h1>Service-level burn</h1>\n";

static void print_escaped(const char *text);
static void print_objective(const struct objective *o, uint64_t now);
static void print_plot(const struct objective *o, uint64_t now);
static void print_threshold(double rate, const char *colour);
static double rate_to_y(double rate);

/* Prints the report as an HTML page. */
void burn_html(const struct burn_summary *s)
{
	time_t t = (time_t)(s->now / 1000);
	char when[40];
	struct tm tm;
	size_t i;

	gmtime_r(&t, &tm);
	strftime(when, sizeof(when), "%Y-%m-%d %H:%M UTC", &tm);
	fputs(page_head, stdout);
	printf("<p>%s, from %zu of %zu entry processes. A burn rate of 1 "
	       "spends the budget exactly.</p>\n",
	       when, s->n_queried - s->n_failed, s->n_queried);
	for (i = 0; i < s->n; i++)
		print_objective(&s->objectives[i], s->now);
	puts("</body></html>");
}

/* Prints text with HTML's reserved characters escaped. */
static void print_escaped(const char *text)
{
	for (; *text; text++) {
		switch (*text) {
		case '<':
			fputs("&lt;", stdout);
			break;
		case '>':
			fputs("&gt;", stdout);
			break;
		case '&':
			fputs("&amp;", stdout);
			break;
		case '"':
			fputs("&quot;", stdout);
			break;
		default:
			putchar(*text);
			break;
		}
	}
}

static void print_objective(const struct objective *o, uint64_t now)
{
	static const char *const classes[] = { "ok", "ticket", "page" };

	fputs("<h2>", stdout);
	print_escaped(o->name);
	printf("</h2>\n<p class=\"%s\">%s</p>\n<table><tr><th>about</th>"
	       "<th>target</th><th>good</th><th>bad</th><th>budget left</th>"
	       "</tr><tr><td>",
	       classes[o->report.level], burn_level_sentence(o->report.level));
	print_escaped(o->scope);
	printf("</td><td>%g%%</td><td>%llu</td><td>%llu</td><td>%.1f%%</td>"
	       "</tr></table>\n",
	       o->target * 100, (unsigned long long)o->burn.good,
	       (unsigned long long)o->burn.bad, o->report.budget_left * 100);
	print_plot(o, now);
}

/* Draws the burn rate and the thresholds of the alerts. */
static void print_plot(const struct objective *o, uint64_t now)
{
	uint64_t at;
	double rate;
	int m;

	printf("<svg width=\"%d\" height=\"%d\" role=\"img\">\n"
	       "<title>Burn rate of the last six hours</title>\n",
	       PLOT_WIDTH_PX, PLOT_HEIGHT_PX);
	print_threshold(burn_page.threshold, "#b00");
	print_threshold(burn_ticket.threshold, "#a60");
	print_threshold(1, "#888");
	fputs("<polyline fill=\"none\" stroke=\"#036\" points=\"", stdout);
	for (m = 0; m < BURN_MINUTES; m++) {
		at = now - (uint64_t)(BURN_MINUTES - 1 - m) * BURN_MINUTE_MS;
		rate = burn_rate(&o->burn, at, PLOT_WINDOW_MINUTES, o->target);
		printf("%d,%.1f ", m * PLOT_WIDTH_PX / BURN_MINUTES,
		       rate_to_y(rate));
	}
	puts("\"/>\n</svg>\n<p>six hours, until now; lines at the rates 1, "
	     "6 (look into it) and 14.4 (act now)</p>");
}

static void print_threshold(double rate, const char *colour)
{
	printf("<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" "
	       "stroke-dasharray=\"4\"/>\n",
	       PLOT_WIDTH_PX, rate_to_y(rate), rate_to_y(rate), colour);
}

/* Returns the y coordinate of a burn rate in the plot, in pixels. */
static double rate_to_y(double rate)
{
	if (rate > PLOT_RATE_MAX)
		rate = PLOT_RATE_MAX;
	return PLOT_HEIGHT_PX * (1 - rate / PLOT_RATE_MAX);
}
