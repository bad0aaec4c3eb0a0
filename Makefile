# Build of wasabilink. BUILD selects the object folder, so that sanitizer
# builds live beside the normal one.
CC ?= gcc
BUILD ?= build
BIN ?= wasabilink
# Each build has an archive of its own.
LIB = $(if $(filter build,$(BUILD)),libwasabilink.a,$(BUILD)/libwasabilink.a)
PKGS = libevent evhtp libtirpc glib-2.0 jansson libcrypto zlib
CPPFLAGS += -D_GNU_SOURCE -I. -Isrc -Isrc/rpc $(shell pkg-config --cflags $(PKGS))
CFLAGS ?= -O2 -g
# override: a CFLAGS given on the command line must not drop these.
override CFLAGS += -std=gnu11 -Wall -Wextra -Wno-unused-parameter -Werror -MMD -MP \
	-fno-omit-frame-pointer -D_FORTIFY_SOURCE=2
LDLIBS += $(shell pkg-config --libs $(PKGS)) -lm
CLANG_TIDY ?= clang-tidy
CLANG_FORMAT ?= clang-format

GENERATED := $(wildcard src/rpc/*_xdr.c src/rpc/*_xdr.h)
SRCS := $(wildcard src/*/*.c platform/*.c)
OBJS := $(SRCS:%.c=$(BUILD)/%.o)
# The library: coordination parts and what they need of base and rpc.
COORD_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/coord/*.c) \
	$(wildcard src/rpc/*_xdr.c) src/base/clock.c src/base/error.c \
	src/base/histogram.c src/rpc/xdr_bound.c)
MAIN_OBJ := $(BUILD)/src/main.o
TESTS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test_*.c))
EXAMPLES := $(patsubst examples/%.c,$(BUILD)/examples/%,$(wildcard examples/*.c))
OWN := $(filter-out $(GENERATED),$(wildcard src/*.c src/*.h src/*/*.c \
	src/*/*.h platform/*.c platform/*.h tests/*.c tests/*.h tests/*/*.c tests/*/*.h examples/*.c))

all: $(BIN)

$(BIN): $(MAIN_OBJ) $(OBJS)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(LIB): $(COORD_OBJS)
	rm -f $@ && ar rcs $@ $^

# rpcgen output has unused variables and its own style; xdr_bound.h replaces
# decoders that allocate before they read.
$(BUILD)/src/rpc/%_xdr.o: override CFLAGS += -Wno-unused-variable -Wno-error \
	-DXDR_BOUND_REPLACE -include src/rpc/xdr_bound.h
$(patsubst %.c,$(BUILD)/%.o,$(filter %.c,$(GENERATED))): src/rpc/xdr_bound.h

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(OBJS)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lcunit

FUZZ_TARGET_OBJ := $(BUILD)/tests/fuzz/fuzz_target.o
$(BUILD)/tests/test_fuzz_corpus: $(FUZZ_TARGET_OBJ)
$(BUILD)/tests/%.o: CPPFLAGS += -Itests
# Calls between the nodes of the model go to the test.
$(BUILD)/tests/test_job_protocol: $(BUILD)/tests/model_store.o \
	$(BUILD)/tests/model_run.o
$(BUILD)/tests/test_job_protocol: override LDFLAGS += \
	-Wl,--wrap=rpc_client_call,--wrap=rpc_server_register,--wrap=rpc_reply
# So do the sockets and random sources of whole gateways.
$(BUILD)/tests/test_view_protocol: $(BUILD)/tests/model_store.o \
	$(BUILD)/tests/model_run.o
$(BUILD)/tests/test_view_protocol: override LDFLAGS += -Wl,--wrap=g_rand_new \
	-Wl,--wrap=socket,--wrap=bind,--wrap=sendto,--wrap=recvfrom \
	-Wl,--wrap=__recvfrom_chk \
	-Wl,--wrap=rpc_client_new,--wrap=rpc_server_new \
	-Wl,--wrap=rpc_client_call,--wrap=rpc_server_register \
	-Wl,--wrap=rpc_reply,--wrap=rpc_reply_unavailable

$(BUILD)/fuzzer: $(BUILD)/tests/fuzz/fuzzer.o $(FUZZ_TARGET_OBJ) $(OBJS)
	$(CC) $(CFLAGS) -fsanitize=fuzzer $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/examples/%: $(BUILD)/examples/%.o $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Regenerates the committed XDR code; the build itself does not need rpcgen.
xdr:
	for x in src/rpc/*.x; do n=$${x%.x}; rm -f $${n}_xdr.h $${n}_xdr.c; \
		(cd src/rpc && b=$$(basename $$n) && \
		rpcgen -h -o $${b}_xdr.h $$b.x && rpcgen -c -o $${b}_xdr.c $$b.x && \
		sed -i "s|#include \"$$b.h\"|#include \"$${b}_xdr.h\"|; s|#include \"$${b}.h\"|#include \"$${b}_xdr.h\"|" $${b}_xdr.c); done

deps:
	scripts/install-deps

# Preloaded by process tests; without the sanitizers' runtime.
CUT_TRAFFIC = build/tests/cut_traffic.so
$(CUT_TRAFFIC): tests/process/cut_traffic.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -fPIC -shared \
		-o $@ $< -ldl

tests: $(BIN) $(TESTS) $(EXAMPLES) $(CUT_TRAFFIC)

check: deps
	$(MAKE) tests
	scripts/check

# AddressSanitizer and UndefinedBehaviorSanitizer; the daemons end without
# freeing what lives as long as the process, so leaks are not looked for.
# The sanitizers widen the ranges that the truncation warning goes by.
ASAN_FLAGS = -O1 -g -fsanitize=address,undefined \
	-fno-sanitize-recover=undefined -Wno-format-truncation
check-asan: deps
	$(MAKE) BUILD=build-asan BIN=build-asan/wasabilink \
		CFLAGS="$(ASAN_FLAGS)" tests
	BUILD=build-asan BIN=$(CURDIR)/build-asan/wasabilink \
		ASAN_OPTIONS=detect_leaks=0 scripts/check

# Runs each decoder's target for FUZZ_SECONDS; new inputs and crashes go to
# build-fuzz.
FUZZ_FLAGS = -O1 -g -fsanitize=address,undefined,fuzzer-no-link \
	-fno-sanitize-recover=undefined -Wno-unused-command-line-argument
FUZZ_SECONDS ?= 20
fuzz: deps
	$(MAKE) CC=clang BUILD=build-fuzz CFLAGS="$(FUZZ_FLAGS)" \
		build-fuzz/fuzzer
	scripts/fuzz $(FUZZ_SECONDS)

# Fault soak of gateway processes; SOAK_SEEDS is one seed or FIRST-LAST.
SOAK_SEEDS ?= 1-50
soak: deps
	$(MAKE) all
	tests/soak/soak.py --seeds $(SOAK_SEEDS)

demo: deps
	$(MAKE) all
	scripts/demo

bench: deps
	$(MAKE) all
	scripts/bench $(BENCH_DIR)

format:
	@$(CLANG_FORMAT) -i $(OWN)

lint:
	@$(CLANG_FORMAT) --dry-run -Werror $(OWN)
	@cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
		--enable=warning,performance,portability \
		-D'json_object_foreach(o,k,v)=for(;(k)&&(v);)' \
		-D'json_array_foreach(a,i,v)=for(;(i)&&(v);)' \
		--suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
		-I. -Isrc $(filter %.c,$(filter src/% platform/%,$(OWN)))
	@printf '%s\n' $(filter %.c,$(filter src/% platform/%,$(OWN))) | xargs -P 6 -n 4 \
		sh -c '$(CLANG_TIDY) --quiet "$$@" -- $(CPPFLAGS) -std=gnu11 2>/dev/null' tidy

PREFIX ?= /usr/local
install: $(BIN) $(LIB)
	install -D -m 755 $(BIN) $(DESTDIR)$(PREFIX)/bin/wasabilink
	install -D -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib/libwasabilink.a
	for header in src/coord/*.h src/base/*.h src/object/*.h src/rpc/*_xdr.h; do \
		install -D -m 644 $$header \
			$(DESTDIR)$(PREFIX)/include/wasabilink/$${header#src/}; \
	done

clean:
	rm -rf $(BUILD) $(BIN) libwasabilink.a

.PHONY: all install tests check check-asan fuzz soak demo bench format lint clean deps xdr
.SECONDARY:
-include $(OBJS:.o=.d) $(MAIN_OBJ:.o=.d) $(TESTS:=.d) $(EXAMPLES:=.d) \
	$(FUZZ_TARGET_OBJ:.o=.d) $(BUILD)/tests/model_store.d $(BUILD)/tests/model_run.d
