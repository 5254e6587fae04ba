# Commands for users and developers. README.md explains them.
MODULES  := api cli daemon platform sched settings soak standin wire
PATTERNS := $(foreach m,$(MODULES),./$(m)/...)
BIN      := bin

# Tests named in KNOWN-RED.txt ("test: Name" lines) are known to fail; they are
# printed and passed over.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP      := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# Test packages that run on one processor under the race detector; see standin/bubblerace.
BUBBLES := $(sort $(dir $(shell grep -rl '"rhubarbstall.example/standin/bubblerace"' --include='*_test.go' $(MODULES))))

# Fuzz targets are fuzzed one after the other, each with FUZZTIME; a count of inputs, since a time can end in the
# middle of one, which fails the run.
FUZZ_FILES := $(shell grep -rl '^func Fuzz' --include='*_test.go' $(MODULES))
FUZZTIME   ?= 5000x

.PHONY: build demo test fuzz bench bench-cell test-upgrade clean

build:
	mkdir -p $(BIN)
	go build -o $(BIN)/ ./daemon/cmd/... ./cli/cmd/... ./standin/cmd/... ./soak/cmd/...

# Runs a whole small deployment on this machine and checks the promises.
demo: build
	$(BIN)/demo -bin $(BIN)

# The replay of the recorded traces takes minutes under the race detector, so its
# long tests run without it. Packages with synctest bubbles run both ways: on one processor
# with the detector, on all without it.
test:
	@test -z '$(KNOWN_RED)' || echo 'known to fail and passed over: $(KNOWN_RED)'
	go test -race -timeout 15m $(SKIP) $(PATTERNS)
	go test -timeout 5m $(SKIP) ./sched/replay/... $(BUBBLES:%=./%)

# A short search for inputs from outside that a decoder, or what it feeds, does not bear.
# Interesting inputs are not shortened: that takes a minute each.
fuzz:
	@set -e; for f in $(FUZZ_FILES); do for t in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' $$f); do \
		echo "fuzz $$t"; go test -run '^$$' -fuzz "^$$t$$" -fuzztime $(FUZZTIME) -fuzzminimizetime 1x -parallel 4 ./$$(dirname $$f); \
	done; done

# Prints one figure a line, each with its baseline in the same run.
bench:
	go test -run '^$$' -bench . -benchmem $(PATTERNS)

# The benchmarks of a cell on the users' platform, within a minute.
bench-cell:
	cd sched && go test -run '^$$' -bench . -benchmem ./cell

# Runs entry VMs of an earlier release beside this one: make test-upgrade OLD=<revision>.
test-upgrade:
	rm -rf .cache/old && mkdir -p .cache/old
	git archive $(OLD) | tar -x -C .cache/old
	cd .cache/old && go build -o ../rhubarbstalld-old ./daemon/cmd/rhubarbstalld
	cd daemon && RHUBARBSTALL_OLD_DAEMON=$(CURDIR)/.cache/rhubarbstalld-old \
		go test -count=1 -v -run TestVMsOfTwoReleasesShareACell ./cmd/rhubarbstalld

clean:
	rm -rf $(BIN) .cache
