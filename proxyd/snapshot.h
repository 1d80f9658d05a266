#ifndef PROXYD_SNAPSHOT_H
#define PROXYD_SNAPSHOT_H

#define SNAPSHOT_CONFIGURATION_PATH "/configuration"
#define SNAPSHOT_ALL_PATH "/snapshot"

struct http1_conn;
struct proxyd;
struct snapshots;

struct snapshots *snapshots_new(struct proxyd *p);
void snapshots_invalidate(struct snapshots *s);
void snapshot_serve_configuration(struct snapshots *s, struct http1_conn *c);
void snapshot_serve_all(struct snapshots *s, struct http1_conn *c);
void snapshot_fetch_configuration(struct snapshots *s, const char *control);
void snapshot_fetch_all(struct snapshots *s);

#endif /* PROXYD_SNAPSHOT_H */
