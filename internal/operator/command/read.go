package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

// roleRouter is the role of a router VM in the platform's list of VMs.
const roleRouter = "router"

type (
	// resourceRow is one resource in the output of get and status.
	resourceRow struct {
		Kind    string          `json:"kind"`
		Name    string          `json:"name"`
		Version uint64          `json:"version"`
		State   status.State    `json:"state,omitempty"`
		Message string          `json:"message,omitempty"`
		Spec    json.RawMessage `json:"spec,omitempty"`
	}

	// statusReport is the JSON and YAML output of status.
	statusReport struct {
		Fleet     status.Status `json:"fleet"`
		Resources []resourceRow `json:"resources"`
	}

	// nodeRow is one router in the output of nodes.
	nodeRow struct {
		Name          string          `json:"name"`
		FailureDomain string          `json:"failure-domain"`
		State         objects.VMState `json:"state"`
		CallerAddress string          `json:"caller-address"`
		PeerAddress   string          `json:"peer-address"`
		Configuration string          `json:"configuration"`
	}

	// targetRow is one target in the output of targets.
	targetRow struct {
		Owner         string  `json:"of"`
		Name          string  `json:"name"`
		Address       string  `json:"address"`
		FailureDomain string  `json:"failure-domain"`
		Weight        float64 `json:"weight"`
		State         string  `json:"state"`
	}
)

func runGet(ctx context.Context, env Env, args []string) int {
	v, store, cleanup, err := parseAndOpen(env, "get", args)
	if err != nil {
		return v.reportError(err)
	}
	defer cleanup()
	found, err := v.selectObjects(ctx, store)
	if err != nil {
		return v.reportError(err)
	}
	return v.reportError(v.printObjects(found))
}

// parseAndOpen parses the command line of a command that has only the shared
// flags, and opens the platform.
func parseAndOpen(env Env, name string, args []string) (*invocation, objects.Store, func(), error) {
	v := newInvocation(env, name)
	if err := v.parse(args); err != nil {
		return v, nil, nil, err
	}
	store, cleanup, err := v.open()
	return v, store, cleanup, err
}

// resourceKey returns the key given by the arguments KIND NAME.
func (v *invocation) resourceKey() (objects.Key, error) {
	if len(v.args) != 2 {
		return objects.Key{}, exitf(ExitUsage, "want KIND NAME")
	}
	if err := checkKind(v.args[0]); err != nil {
		return objects.Key{}, err
	}
	return objects.Key{Kind: v.args[0], Name: v.args[1]}, nil
}

func checkKind(kind string) error {
	if slices.Contains(resource.Kinds(), kind) {
		return nil
	}
	return exitf(ExitUsage, "unknown kind %q: want one of %s", kind, strings.Join(resource.Kinds(), ", "))
}

// selectObjects returns the objects that the arguments [KIND [NAME]] select.
func (v *invocation) selectObjects(ctx context.Context, store objects.Store) ([]objects.Object, error) {
	switch len(v.args) {
	case 0:
		return listAll(ctx, store, resource.Kinds())
	case 1:
		if err := checkKind(v.args[0]); err != nil {
			return nil, err
		}
		return listAll(ctx, store, v.args)
	}
	k, err := v.resourceKey()
	if err != nil {
		return nil, err
	}
	o, err := store.Get(ctx, k)
	return []objects.Object{o}, eris.Wrapf(err, "read %s %q", k.Kind, k.Name)
}

func listAll(ctx context.Context, store objects.Store, kinds []string) ([]objects.Object, error) {
	var all []objects.Object
	for _, kind := range kinds {
		l, err := store.List(ctx, kind)
		if err != nil {
			return nil, eris.Wrapf(err, "list %s", kind)
		}
		all = append(all, l.Objects...)
	}
	slices.SortFunc(all, func(a, b objects.Object) int {
		if c := strings.Compare(a.Kind, b.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all, nil
}

func (v *invocation) printObjects(found []objects.Object) error {
	if v.output == outputYAML {
		return v.printYAML(found)
	}
	rows := make([]resourceRow, 0, len(found))
	for _, o := range found {
		rows = append(rows, resourceRow{Kind: o.Kind, Name: o.Name, Version: o.Version, Spec: o.Data})
	}
	if v.output == outputJSON {
		return v.printValue(rows)
	}
	return printTable(v.env.Stdout, "KIND\tNAME\tVERSION", rows, func(r resourceRow) string {
		return fmt.Sprintf("%s\t%s\t%d", r.Kind, r.Name, r.Version)
	})
}

// printYAML writes documents that apply accepts, each with the version that was read.
func (v *invocation) printYAML(found []objects.Object) error {
	for i, o := range found {
		r, err := resource.Decode(o.Kind, o.Data)
		if err != nil {
			return &exitError{code: ExitInvalid, err: eris.Wrapf(err, "%s %q in the platform", o.Kind, o.Name)}
		}
		text, err := resource.EncodeYAML(r, o.Version)
		if err != nil {
			return err
		}
		if i > 0 {
			_, _ = fmt.Fprintln(v.env.Stdout, "---")
		}
		_, _ = v.env.Stdout.Write(text)
	}
	return nil
}

func runStatus(ctx context.Context, env Env, args []string) int {
	v, store, cleanup, err := parseAndOpen(env, "status", args)
	if err != nil {
		return v.reportError(err)
	}
	defer cleanup()
	s, err := readStatus(ctx, store)
	if err != nil {
		return v.reportError(err)
	}
	found, err := v.selectObjects(ctx, store)
	if err != nil {
		return v.reportError(err)
	}
	return v.reportError(v.printStatus(s, found))
}

// readStatus returns the fleet's status, or the zero status, with nothing in
// force, when no router has written one yet.
func readStatus(ctx context.Context, store objects.Store) (status.Status, error) {
	o, err := store.Get(ctx, status.Key())
	if errors.Is(err, objects.ErrNotFound) {
		return status.Status{}, nil
	}
	if err != nil {
		return status.Status{}, eris.Wrap(err, "read the configuration status")
	}
	return status.Decode(o.Data)
}

func (v *invocation) printStatus(s status.Status, found []objects.Object) error {
	rows := make([]resourceRow, 0, len(found))
	for _, o := range found {
		state, message := s.StateOf(o.Key, o.Version)
		rows = append(rows, resourceRow{Kind: o.Kind, Name: o.Name, Version: o.Version, State: state, Message: message})
	}
	if v.output != outputTable {
		return v.printValue(statusReport{Fleet: s, Resources: rows})
	}
	err := printTable(v.env.Stdout, "KIND\tNAME\tVERSION\tSTATE\tMESSAGE", rows, func(r resourceRow) string {
		return fmt.Sprintf("%s\t%s\t%d\t%s\t%s", r.Kind, r.Name, r.Version, r.State, r.Message)
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(v.env.Stdout, "\nin force everywhere up to version %d, accepted up to %d\n\n", s.InForce, s.Accepted)
	return printTable(v.env.Stdout, "DOMAIN\tROUTERS\tIN FORCE\tMISSING", s.Domains, func(d status.Domain) string {
		return fmt.Sprintf("%s\t%d\t%d\t%s", d.Name, d.Routers, d.InForce, strings.Join(d.Missing, " "))
	})
}

func runNodes(ctx context.Context, env Env, args []string) int {
	v, store, cleanup, err := parseAndOpen(env, "nodes", args)
	if err != nil {
		return v.reportError(err)
	}
	defer cleanup()
	vms, err := store.VMs(ctx)
	if err != nil {
		return v.reportError(eris.Wrap(err, "read the list of VMs"))
	}
	s, err := readStatus(ctx, store)
	if err != nil {
		return v.reportError(err)
	}
	l, err := store.List(ctx, status.KindRouter)
	if err != nil {
		return v.reportError(eris.Wrap(err, "list the routers"))
	}
	return v.reportError(v.printNodes(nodeRows(vms, s, l.Objects)))
}

func nodeRows(vms []objects.VM, s status.Status, registrations []objects.Object) []nodeRow {
	registered := map[string]bool{}
	for _, r := range registrations {
		registered[r.Name] = true
	}
	rows := []nodeRow{}
	for _, vm := range vms {
		if vm.Role != roleRouter {
			continue
		}
		row := nodeRow{Name: vm.Name, FailureDomain: vm.FailureDomain, State: vm.State,
			CallerAddress: vm.CallerAddress, PeerAddress: vm.PeerAddress, Configuration: "reported"}
		switch {
		case !registered[vm.Name]:
			row.Configuration = "unknown"
		case slices.Contains(s.Missing(), vm.Name):
			row.Configuration = "missing"
		}
		rows = append(rows, row)
	}
	return rows
}

func (v *invocation) printNodes(rows []nodeRow) error {
	if v.output != outputTable {
		return v.printValue(rows)
	}
	return printTable(v.env.Stdout, "NAME\tDOMAIN\tSTATE\tCALLERS\tPEERS\tCONFIGURATION", rows, func(r nodeRow) string {
		return strings.Join([]string{r.Name, r.FailureDomain, string(r.State), r.CallerAddress, r.PeerAddress, r.Configuration}, "\t")
	})
}

func (v *invocation) printValue(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	if v.output == outputYAML {
		if data, err = yaml.JSONToYAML(data); err != nil {
			return eris.Wrap(err, "encode output")
		}
	}
	_, _ = fmt.Fprintln(v.env.Stdout, strings.TrimRight(string(data), "\n"))
	return nil
}

// printTable writes a header line and one line for each row.
func printTable[T any](w io.Writer, header string, rows []T, formatRow func(T) string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, header)
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, formatRow(r))
	}
	return eris.Wrap(t.Flush(), "write output")
}
