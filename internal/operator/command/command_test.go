package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/operator/command"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/pipe"
	"hickoryrock/internal/standin/platform"
)

const policyTemplate = "kind: traffic-policy\nname: care\nspec:\n  service: care-reports\n  load-bound: %BOUND%\n"

// harness runs operators' commands against a stand-in platform.
type harness struct {
	c      *qt.C
	server *platform.Server
	store  *objects.Client
}

// withHarness runs a test with a fake clock.
func withHarness(c *qt.C, test func(h *harness)) {
	synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
		c := qt.New(t)
		server := platform.New(platform.WithVMLag(0))
		client, stop := pipe.Serve(server)
		store, closeStore := objects.New(objects.WithBaseURLs("http://platform"), objects.WithHTTPClient(client))
		defer stop()
		defer closeStore()
		test(&harness{c: c, server: server, store: store})
	})
}

// run runs one command line and returns its exit code, stdout and stderr.
func (h *harness) run(stdin string, args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	env := command.Env{
		Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &stderr,
		Getenv: func(string) string { return "http://platform" },
		Open:   func(string) (objects.Store, func(), error) { return h.store, func() {}, nil },
	}
	code := command.Dispatch(context.Background(), command.Commands(), env, args)
	return code, stdout.String(), stderr.String()
}

func (h *harness) assertRun(exitCode int, outputPattern, stdin string, args ...string) string {
	code, stdout, stderr := h.run(stdin, args...)
	h.c.Assert(code, qt.Equals, exitCode, qt.Commentf("%v: %s%s", args, stdout, stderr))
	h.c.Assert(stdout+stderr, qt.Matches, "(?s).*(?:"+outputPattern+").*")
	return stdout
}

func (h *harness) putStatus(s status.Status) {
	data, err := status.Encode(s)
	h.c.Assert(err, qt.IsNil)
	o, err := h.store.Get(context.Background(), status.Key())
	if err == nil {
		_, err = h.store.Update(context.Background(), status.Key(), o.Version, data)
	} else {
		_, err = h.store.Create(context.Background(), status.Key(), data)
	}
	h.c.Assert(err, qt.IsNil)
}

// policyWithBound returns the policy document with a load bound.
func policyWithBound(b string) string { return strings.ReplaceAll(policyTemplate, "%BOUND%", b) }

func TestApply(t *testing.T) {
	c := qt.New(t)

	c.Run("concurrent operators get one success and one conflict", func(c *qt.C) {
		withHarness(c, func(h *harness) {
			h.assertRun(command.ExitOK, "created at version 1", policyWithBound("1.5"), "apply", "-f", "-")
			read := h.assertRun(command.ExitOK, "version: 1", "", "get", "traffic-policy", "care", "-o", "yaml")
			bounds := []string{"2", "3"}
			codes, errs := make([]int, 2), make([]string, 2)
			var wg sync.WaitGroup
			for i, b := range bounds {
				wg.Go(func() {
					text := strings.ReplaceAll(read, "load-bound: 1.5", "load-bound: "+b)
					codes[i], _, errs[i] = h.run(text, "apply", "-f", "-")
				})
			}
			wg.Wait()
			winner, loser := 0, 1
			if codes[0] != command.ExitOK {
				winner, loser = 1, 0
			}
			h.c.Assert(codes[winner], qt.Equals, command.ExitOK)
			h.c.Assert(codes[loser], qt.Equals, command.ExitConflict)
			h.c.Assert(errs[loser], qt.Matches, "(?s).*read at version 1 and is at version 2 now; nothing was written.*")
			h.assertRun(command.ExitOK, "load-bound: "+bounds[winner], "", "get", "traffic-policy", "care", "-o", "yaml")
			h.assertRun(command.ExitOK, "changed at version 3", policyWithBound(bounds[loser]+".5"), "apply", "-f", "-", "-version", "2")
		})
	})

	c.Run("an existing resource is not replaced without its version", func(c *qt.C) {
		withHarness(c, func(h *harness) {
			h.assertRun(command.ExitOK, "created", policyWithBound("1.5"), "apply", "-f", "-")
			h.assertRun(command.ExitOK, "unchanged at version 1", policyWithBound("1.5"), "apply", "-f", "-")
			h.assertRun(command.ExitConflict, "exists at version 1", policyWithBound("2"), "apply", "-f", "-")
			h.assertRun(command.ExitConflict, "must not exist", policyWithBound("2"), "apply", "-f", "-", "-version", "0")
			h.assertRun(command.ExitOK, "changed at version 2", policyWithBound("2"), "apply", "-f", "-", "-overwrite")
		})
	})

	c.Run("a lost reply is resolved by reading back", func(c *qt.C) {
		withHarness(c, func(h *harness) {
			h.server.SetFaults(platform.Faults{LoseReplies: 1})
			h.assertRun(command.ExitOK, "created at version 1", policyWithBound("1.5"), "apply", "-f", "-")
			h.server.SetFaults(platform.Faults{LoseReplies: 1})
			h.assertRun(command.ExitOK, "changed at version 2", policyWithBound("2"), "apply", "-f", "-", "-version", "1")
			h.server.SetFaults(platform.Faults{LoseReplies: 1})
			h.assertRun(command.ExitOK, "deleted", "", "delete", "traffic-policy", "care")
			h.assertRun(command.ExitNotFound, "not found", "", "get", "traffic-policy", "care")
		})
	})

	c.Run("exit codes", func(c *qt.C) {
		withHarness(c, func(h *harness) {
			h.assertRun(command.ExitUsage, "line 5: spec.load-bound", policyWithBound("0.5"), "apply", "-f", "-")
			h.assertRun(command.ExitUsage, "unknown command", "", "aply")
			h.assertRun(command.ExitUsage, "unknown kind", "", "get", "services")
			h.assertRun(command.ExitUsage, "no resource", "", "apply", "-f", "-")
			h.assertRun(command.ExitConflict, "has been deleted since|no longer at", policyWithBound("2"), "apply", "-f", "-", "-version", "9")
			h.server.SetFaults(platform.Faults{Down: true})
			h.assertRun(command.ExitUnavailable, "unavailable", policyWithBound("2"), "apply", "-f", "-")
			h.assertRun(command.ExitUnavailable, "not known to be in force", "", "wait", "-version", "3", "-timeout", "2s")
		})
	})
}

func TestWait(t *testing.T) {
	c := qt.New(t)

	c.Run("in force, missing and invalid", func(c *qt.C) {
		withHarness(c, func(h *harness) {
			h.assertRun(command.ExitOK, "created at version 1", policyWithBound("1.5"), "apply", "-f", "-")
			h.assertRun(command.ExitTimeout, "version 1 is not in force", "", "wait", "-timeout", "3s")
			h.putStatus(status.Status{Accepted: 1, Domains: []status.Domain{{Name: "a", Routers: 3, Missing: []string{"r1", "r2"}}}})
			h.assertRun(command.ExitTimeout, "missing: r1 r2", "", "wait", "traffic-policy", "care", "-timeout", "3s")
			h.assertRun(command.ExitOK, "care +1 +pending", "", "status")
			h.putStatus(status.Status{Accepted: 1, InForce: 1, Domains: []status.Domain{{Name: "a", Routers: 3, InForce: 1}}})
			h.assertRun(command.ExitOK, "version 1 is in force on 3 routers", "", "wait", "traffic-policy", "care")
			h.assertRun(command.ExitOK, "care +1 +in-force", "", "status", "traffic-policy")
			invalid := status.Condition{Kind: "traffic-policy", Name: "care", Version: 1, State: status.StateInvalid, Message: "why"}
			h.putStatus(status.Status{Accepted: 1, InForce: 1, Conditions: []status.Condition{invalid}})
			h.assertRun(command.ExitInvalid, "version 1 is invalid: why", "", "wait")
		})
	})

	c.Run("a change that comes into force during the wait", func(c *qt.C) {
		withHarness(c, func(h *harness) {
			stored := make(chan struct{})
			time.AfterFunc(4*time.Second, func() {
				defer close(stored)
				h.putStatus(status.Status{Accepted: 7, InForce: 7})
			})
			h.assertRun(command.ExitOK, "version 7 is in force", "", "wait", "-version", "7")
			<-stored // The watch may deliver the status before the response to its write.
		})
	})
}

func TestLists(t *testing.T) {
	c := qt.New(t)
	c.Run("nodes and targets", func(c *qt.C) {
		withHarness(c, func(h *harness) {
			text := "kind: service\nname: bookings\nspec:\n  protocol: plain\n  methods: [{name: book-batch, semantics: at-most-once}]\n" +
				"  targets:\n    - {name: order-1, address: '127.0.0.1:9201', failure-domain: a}\n" +
				"    - {name: order-2, address: '127.0.0.1:9202', failure-domain: b, leaving: true}\n"
			h.assertRun(command.ExitOK, "created", text, "apply", "-f", "-")
			h.assertRun(command.ExitOK, `order-1 +127.0.0.1:9201 +a +1 +configured.*order-2 .*leaving \(resource\)`, "", "targets")
			h.server.PutVM(objects.VM{Name: "order-1", Role: "target", State: objects.VMLeaving})
			h.server.PutVM(objects.VM{Name: "r1", Role: "router", FailureDomain: "a", State: objects.VMLive})
			h.assertRun(command.ExitOK, `order-1 .*leaving \(platform\)`, "", "targets")
			h.assertRun(command.ExitOK, "r1 +a +live +unknown", "", "nodes")
			out := h.assertRun(command.ExitOK, "", "", "nodes", "-o", "json")
			var rows []map[string]string
			h.c.Assert(json.Unmarshal([]byte(out), &rows), qt.IsNil)
			h.c.Assert(rows, qt.HasLen, 1)
		})
	})
}
