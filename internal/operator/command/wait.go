package command

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

const (
	defaultWaitTimeout = 30 * time.Second
	pollInterval       = 500 * time.Millisecond
)

// waitCondition is met when version minVersion is in force on the fleet.
type waitCondition struct {
	// resources maps resources to versions; wait fails when one of them is invalid.
	resources  map[objects.Key]uint64
	minVersion uint64
}

func runWait(ctx context.Context, env Env, args []string) int {
	v := newInvocation(env, "wait")
	timeout := v.flags.Duration("timeout", defaultWaitTimeout, "longest wait")
	version := v.flags.Uint64("version", 0, "version to wait for; 0: what is there now")
	if err := v.parse(args); err != nil {
		return v.reportError(err)
	}
	store, cleanup, err := v.open()
	if err != nil {
		return v.reportError(err)
	}
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	cond := waitCondition{minVersion: *version}
	if *version == 0 {
		found, err := v.selectObjects(ctx, store)
		if err != nil {
			return v.reportError(err)
		}
		cond = waitConditionFor(found)
	}
	return v.reportError(v.wait(ctx, store, cond))
}

func waitConditionFor(found []objects.Object) waitCondition {
	cond := waitCondition{resources: map[objects.Key]uint64{}}
	for _, o := range found {
		cond.resources[o.Key] = o.Version
		cond.minVersion = max(cond.minVersion, o.Version)
	}
	return cond
}

// wait polls the status until the condition is met or ctx is done. Read errors
// are retried, because the platform may be down temporarily.
func (v *invocation) wait(ctx context.Context, store objects.Store, cond waitCondition) error {
	lastStatus := status.Status{}
	var lastErr error
	for {
		s, err := readStatus(ctx, store)
		if err == nil {
			lastStatus = s
			if invalid := checkInvalid(s, cond); invalid != nil {
				return invalid
			}
			if s.InForce >= cond.minVersion {
				return v.printInForce(s, cond)
			}
		}
		if ctx.Err() != nil {
			return timeoutError(lastStatus, cond, lastErr)
		}
		lastErr = err
		_ = objects.Sleep(ctx, pollInterval)
	}
}

func checkInvalid(s status.Status, cond waitCondition) error {
	for k, version := range cond.resources {
		if state, message := s.StateOf(k, version); state == status.StateInvalid {
			return exitf(ExitInvalid, "%s %q version %d is invalid: %s", k.Kind, k.Name, version, message)
		}
	}
	return nil
}

// timeoutError distinguishes a platform that could not be read from a change
// that is not in force yet.
func timeoutError(s status.Status, cond waitCondition, lastErr error) error {
	if lastErr != nil && !errors.Is(lastErr, context.DeadlineExceeded) {
		return exitf(ExitUnavailable, "version %d is not known to be in force: %v", cond.minVersion, lastErr)
	}
	missing := s.Missing()
	detail := "the status does not list the missing routers yet"
	if len(missing) > 0 {
		detail = "missing: " + strings.Join(missing, " ")
	}
	return exitf(ExitTimeout, "version %d is not in force everywhere, version %d is; %s", cond.minVersion, s.InForce, detail)
}

func (v *invocation) printInForce(s status.Status, cond waitCondition) error {
	if v.output != outputTable {
		return v.printValue(s)
	}
	_, _ = fmt.Fprintf(v.env.Stdout, "version %d is in force on %d routers\n", cond.minVersion, s.Routers())
	return nil
}

func runTargets(ctx context.Context, env Env, args []string) int {
	v, store, cleanup, err := parseAndOpen(env, "targets", args)
	if err != nil {
		return v.reportError(err)
	}
	defer cleanup()
	found, err := listAll(ctx, store, []string{resource.KindModelDeployment, resource.KindService})
	if err != nil {
		return v.reportError(err)
	}
	vms, err := store.VMs(ctx)
	if err != nil {
		return v.reportError(eris.Wrap(err, "read the list of VMs"))
	}
	rows, err := targetRows(found, vms)
	if err != nil {
		return v.reportError(err)
	}
	if v.output != outputTable {
		return v.reportError(v.printValue(rows))
	}
	return v.reportError(printTable(v.env.Stdout, "OF\tNAME\tADDRESS\tDOMAIN\tWEIGHT\tSTATE", rows, func(r targetRow) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%g\t%s", r.Owner, r.Name, r.Address, r.FailureDomain, r.Weight, r.State)
	}))
}

// targetRows lists the targets of services and model deployments. A target that
// gets no new work has the reason in its state.
func targetRows(found []objects.Object, vms []objects.VM) ([]targetRow, error) {
	rows := []targetRow{}
	for _, o := range found {
		r, err := resource.Decode(o.Kind, o.Data)
		if err != nil {
			return nil, &exitError{code: ExitInvalid, err: eris.Wrapf(err, "%s %q in the platform", o.Kind, o.Name)}
		}
		for _, t := range resource.Targets(r) {
			rows = append(rows, targetRow{Owner: o.Kind + "/" + o.Name, Name: t.Name, Address: t.Address,
				FailureDomain: t.FailureDomain, Weight: t.EffectiveWeight(), State: targetState(t, vms)})
		}
	}
	return rows, nil
}

func targetState(t resource.Target, vms []objects.VM) string {
	if t.Leaving {
		return "leaving (resource)"
	}
	leaving := slices.ContainsFunc(vms, func(vm objects.VM) bool {
		return vm.Name == t.Name && vm.State == objects.VMLeaving
	})
	if leaving {
		return "leaving (platform)"
	}
	return "configured"
}
