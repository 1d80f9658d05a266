# Top-level Makefile.  Each directory adds its part in Makefile.inc:
#	LIB_SRCS	sources of the common library (lib/, policy/, proto/)
#	PROGS		programs; NAME_SRCS lists a program's sources
#	TESTS		cmocka programs, run by `make check`
#	BENCHES		programs run by `make bench`
#	FUZZERS		programs run by `make fuzz`
# `make SAN=1 ...` builds under build-san/ with ASan and UBSan.

CC = gcc
CXX = g++
O = build
OPT = -O2 -g
ifdef SAN
O = build-san
OPT = -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	-fno-omit-frame-pointer
export ASAN_OPTIONS = detect_leaks=1:abort_on_error=0
export UBSAN_OPTIONS = print_stacktrace=1
endif

WARN = -Wall -Wextra -Werror -Wdeclaration-after-statement -Wpointer-arith \
	-Wstrict-prototypes -Wmissing-prototypes -Wvla -Wshadow
CPPFLAGS = -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -I. -I$(O)
CFLAGS = -std=gnu11 $(OPT) $(WARN)
CXXFLAGS = -std=c++17 $(OPT) -Wall -Wextra -Werror
LDLIBS = -lh2o -luv -lprotobuf-c -ljansson -lxxhash -lssl -lcrypto -lz \
	-lbsd -lm

LIB_SRCS =
PROGS =
TESTS =
BENCHES =
FUZZERS =
SOAKS =

all: programs

include $(sort $(wildcard */Makefile.inc regress/*/Makefile.inc))

LIB_OBJS = $(patsubst %,$(O)/%.o,$(basename $(LIB_SRCS)))
LIB = $(O)/libcdm.a

define PROGRAM
$(1)_OBJS = $$(patsubst %,$$(O)/%.o,$$(basename $$($(1)_SRCS)))
$$(O)/bin/$(1): $$($(1)_OBJS) $$(LIB)
	@mkdir -p $$(@D)
	@echo "  LD    $(1)"
	@$$(CXX) $$(OPT) -o $$@ $$($(1)_OBJS) $$(LIB) $$($(1)_LIBS) $$(LDLIBS)
ALL_OBJS += $$($(1)_OBJS)
endef

$(foreach p,$(sort $(PROGS) $(TESTS) $(BENCHES) $(FUZZERS) $(SOAKS)),\
	$(eval $(call PROGRAM,$(p))))

programs: $(addprefix $(O)/bin/,$(PROGS))
tests: $(addprefix $(O)/bin/,$(TESTS))
benches: $(addprefix $(O)/bin/,$(BENCHES))

$(LIB): $(LIB_OBJS)
	@rm -f $@
	@ar rcs $@ $(LIB_OBJS)

# Generated code is not ours to warn about.
$(O)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) -std=gnu11 $(OPT) -MMD -c -o $@ $<

$(O)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC    $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -c -o $@ $<

$(O)/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX   $<"
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -c -o $@ $<

-include $(sort $(LIB_OBJS:.o=.d) $(ALL_OBJS:.o=.d))

# Only for developers who change a .proto file; the result is committed.
proto-gen:
	cd proto && protoc-c --c_out=. *.proto

setup:
	sh .ci/packages

check: setup
	@$(MAKE) -s check-built

check-built: programs tests
	@sh regress/run.sh $(O) $(TESTS)

# `make bench` runs them all, `make bench B=name` one.
B = $(BENCHES)
bench: programs benches
	@for b in $(patsubst bench_%,%,$(B)); do \
		echo "# bench_$$b"; \
		CDM_BIN=$(CURDIR)/$(O)/bin CDM_ROOT=$(CURDIR) \
			$(O)/bin/bench_$$b | grep -v '^\[' || exit 1; \
	done

# Installs what is needed, builds, and runs the main job on the stand-ins.
demo: setup
	@$(MAKE) -s programs
	@sh emulator/demo.sh $(CURDIR)/$(O)/bin

# Fuzz targets over their corpora, built by clang into a place of their own;
# a bounded number of runs with a fixed seed.
fuzz:
	@$(MAKE) -s $(FUZZ_FLAGS) fuzzers
	@sh regress/fuzz/run.sh build-fuzz $(FUZZERS)

fuzzers: $(addprefix $(O)/bin/,$(FUZZERS))

# The fault soak: seeds 1 to SEEDS, or those named in SEED, each for SECONDS;
# and every seed that ever failed.
SEEDS = 4
SECONDS = 10
SEED = $(shell seq 1 $(SEEDS)) $(shell sed -n 's/^\([0-9]*\).*/\1/p' \
	regress/soak/seeds)
soak: programs $(addprefix $(O)/bin/,$(SOAKS))
	@sh regress/soak/run.sh $(O) $(SECONDS) $(sort $(SEED))

# The phase of lost paths alone, as the soak is long without it.
soak-path:
	@PHASE=path $(MAKE) -s soak

# The phase of configurations that change beside lost calls to the store.
soak-configuration:
	@PHASE=configuration INSTANCES=6 $(MAKE) -s soak

# Proofs under failure: all, or `make prove T=name`.
T = $(basename $(notdir $(wildcard regress/integration/test_*.c)))
prove: programs tests
	@sh regress/run.sh $(O) $(addprefix test_,$(patsubst test_%,%,$(T)))

SRC_FILES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | \
	grep -v '^proto/')
C_FILES = $(filter %.c,$(SRC_FILES))

format:
	clang-format -i $(SRC_FILES)

format-check:
	@clang-format --dry-run -Werror $(SRC_FILES)

lint: tidy cppcheck man-check docs-check platform-check

tidy:
	@printf '%s\n' $(C_FILES) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 2>/dev/null' sh

# cppcheck knows no system headers; the list macros of this one are needed.
QUEUE_H = $(firstword $(wildcard /usr/include/sys/queue.h \
	/usr/include/*/sys/queue.h))

cppcheck:
	@cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr \
		--enable=warning,portability -j 8 -I. --include=$(QUEUE_H) \
		--suppress=missingInclude --suppress=unknownMacro $(C_FILES)

MAN_PAGES = $(shell git ls-files -co --exclude-standard '*.[1-8]')
man-check:
	@test -z "$(MAN_PAGES)" || mandoc -Tlint -Wwarning $(MAN_PAGES)

# Every sentence that the programs say is explained to operators.
docs-check:
	@sh regress/docs_check.sh

# Names of the users' platform stay in its folder.
platform-check:
	@sh regress/platform_check.sh

clean:
	rm -rf build build-san build-fuzz

.PHONY: all programs tests benches fuzzers check check-built bench demo fuzz \
	prove format format-check lint tidy cppcheck man-check docs-check \
	platform-check soak soak-path soak-configuration \
	clean setup proto-gen
