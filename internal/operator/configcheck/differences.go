package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

const (
	// Added is the kind of change of an entry that only the second configuration has.
	Added = "added"
	// Removed is that of an entry that only the first one has.
	Removed = "removed"
	// Changed is that of an entry that both have.
	Changed = "changed"

	unset = "unset"
)

type (
	// Change is one difference between two configurations. It never contains an API key.
	Change struct {
		// Entry is the kind of the entry: configuration, limits, route, service or workspace.
		Entry string `json:"entry"`
		// Name is that of the entry, or empty for the configuration and its limits.
		Name   string `json:"name,omitempty"`
		Change string `json:"change"`
		// Field is what has changed, and From and To its values; empty if the entry was added
		// or removed, and the values are empty if they must not be shown.
		Field string `json:"field,omitempty"`
		From  string `json:"from,omitempty"`
		To    string `json:"to,omitempty"`
		// Text is the whole change in words.
		Text string `json:"text"`
	}

	// field is a property of an entry in words.
	field struct{ name, value string }

	// kind says how the entries of one kind are compared.
	kind[T any] struct {
		name     string
		nameOf   func(T) string
		entryOf  func(T) platform.Entry
		fields   func(T) []field
		describe func(T) string
		// more returns changes beside those of the fields, as a field and words.
		more func(from, to T) []field
	}

	// identity is the name of an entry and its position among those with the same name.
	identity struct {
		name       string
		occurrence int
	}
)

var (
	routes = kind[platform.RouteEntry]{
		name: "route", nameOf: func(r platform.RouteEntry) string { return r.Name },
		entryOf: func(r platform.RouteEntry) platform.Entry { return r.Entry },
		fields:  routeFields,
		describe: func(r platform.RouteEntry) string {
			return fmt.Sprintf("host %q, prefix %q, services %s", r.Host, r.Prefix, formatSplit(r.Services))
		},
	}
	services = kind[platform.ServiceEntry]{
		name: "service", nameOf: func(s platform.ServiceEntry) string { return s.Name },
		entryOf: func(s platform.ServiceEntry) platform.Entry { return s.Entry },
		fields:  serviceFields,
		describe: func(s platform.ServiceEntry) string {
			if s.Slots > 0 {
				return fmt.Sprintf("engines with %d slots", s.Slots)
			}
			return "plain"
		},
	}
	workspaces = kind[platform.WorkspaceEntry]{
		name: "workspace", nameOf: func(w platform.WorkspaceEntry) string { return w.Name },
		entryOf: func(w platform.WorkspaceEntry) platform.Entry { return w.Entry },
		fields: func(w platform.WorkspaceEntry) []field {
			if !w.HasPriority {
				return []field{{"priority", unset}}
			}
			return []field{{"priority", strconv.Itoa(w.Priority)}}
		},
		describe: func(w platform.WorkspaceEntry) string { return formatKeys(len(w.Keys)) },
		more:     keyChanges,
	}
)

// Compare returns the differences between two decoded configurations, in terms of what routers make
// of them and of fields that routers do not read: first those of the whole configuration and its
// limits, then those of routes, services and workspaces, each sorted by name.
func Compare(from, to *platform.ConfigurationDocument) []Change {
	changes := []Change{}
	changes = compareFields(changes, "configuration", "", configurationFields(from), configurationFields(to))
	changes = compareUnread(changes, "configuration", "", from.Top, to.Top)
	changes = compareFields(changes, "limits", "", limitFields(from), limitFields(to))
	changes = compareUnread(changes, "limits", "", from.Limits, to.Limits)
	changes = routes.compare(changes, from.Routes, to.Routes)
	changes = services.compare(changes, from.Services, to.Services)
	return workspaces.compare(changes, from.Workspaces, to.Workspaces)
}

// compare appends the changes from one list of entries to another.
func (k kind[T]) compare(changes []Change, from, to []T) []Change {
	before, after := k.index(from), k.index(to)
	all := maps.Clone(before)
	maps.Copy(all, after)
	ids := slices.SortedFunc(maps.Keys(all), func(a, b identity) int {
		if a.name != b.name {
			return strings.Compare(a.name, b.name)
		}
		return a.occurrence - b.occurrence
	})
	for _, id := range ids {
		x, inFrom := before[id]
		y, inTo := after[id]
		switch {
		case !inFrom:
			changes = append(changes, k.whole(Added, y))
		case !inTo:
			changes = append(changes, k.whole(Removed, x))
		default:
			changes = compareFields(changes, k.name, id.name, k.fields(x), k.fields(y))
			if k.more != nil {
				for _, f := range k.more(x, y) {
					changes = append(changes, newChange(k.name, id.name, Change{Change: Changed, Field: f.name}, f.name+": "+f.value))
				}
			}
			changes = compareUnread(changes, k.name, id.name, k.entryOf(x), k.entryOf(y))
		}
	}
	return changes
}

func (k kind[T]) index(list []T) map[identity]T {
	index := make(map[identity]T, len(list))
	occurrences := make(map[string]int)
	for _, e := range list {
		name := k.nameOf(e)
		index[identity{name, occurrences[name]}] = e
		occurrences[name]++
	}
	return index
}

func (k kind[T]) whole(change string, e T) Change {
	return newChange(k.name, k.nameOf(e), Change{Change: change}, fmt.Sprintf("%s (%s)", change, k.describe(e)))
}

// newChange returns a change with its entry and text.
func newChange(entry, name string, c Change, words string) Change {
	c.Entry, c.Name, c.Text = entry, name, entry+": "+words
	if name != "" {
		c.Text = fmt.Sprintf("%s %q: %s", entry, name, words)
	}
	return c
}

// compareFields appends the fields whose values differ. Both lists have the same fields.
func compareFields(changes []Change, entry, name string, from, to []field) []Change {
	for i, f := range from {
		if f.value != to[i].value {
			c := Change{Change: Changed, Field: f.name, From: f.value, To: to[i].value}
			changes = append(changes, newChange(entry, name, c, fmt.Sprintf("%s %s -> %s", f.name, c.From, c.To)))
		}
	}
	return changes
}

// compareUnread appends the fields that routers do not read. It never shows their values: a
// misspelled one may hold API keys.
func compareUnread(changes []Change, entry, name string, from, to platform.Entry) []Change {
	all := maps.Clone(from.Unread)
	if all == nil {
		all = make(map[string]string)
	}
	maps.Copy(all, to.Unread)
	for _, path := range slices.Sorted(maps.Keys(all)) {
		x, inFrom := from.Unread[path]
		y, inTo := to.Unread[path]
		c := Change{Change: Changed, Field: path}
		switch {
		case !inFrom:
			changes = append(changes, newChange(entry, name, c, fmt.Sprintf("field %.80q added; routers do not read it", path)))
		case !inTo:
			changes = append(changes, newChange(entry, name, c, fmt.Sprintf("field %.80q removed; routers do not read it", path)))
		case x != y:
			changes = append(changes, newChange(entry, name, c, fmt.Sprintf("field %.80q changed; routers do not read it", path)))
		}
	}
	return changes
}

func configurationFields(d *platform.ConfigurationDocument) []field {
	return []field{
		{"version", strconv.FormatInt(d.Configuration.Version, 10)},
		{"calls need an API key", formatBool(d.Configuration.Workspaces != nil)},
	}
}

func limitFields(d *platform.ConfigurationDocument) []field {
	l := d.Configuration.Limits
	return []field{
		{"header bytes", strconv.Itoa(l.HeaderBytes)},
		{"body bytes", strconv.FormatInt(l.BodyBytes, 10)},
		{"header timeout", formatDuration(l.HeaderTimeout)},
		{"idle timeout", formatDuration(l.IdleTimeout)},
	}
}

func routeFields(r platform.RouteEntry) []field {
	return []field{
		{"host", strconv.Quote(r.Host)},
		{"prefix", strconv.Quote(r.Prefix)},
		{"kind", strconv.Quote(r.Kind)},
		{"services", formatSplit(r.Services)},
		{"timeout", formatDuration(r.Timeout)},
		{"latency objective", formatDuration(r.LatencyObjective)},
		{"event gap objective", formatDuration(r.MaxEventGap)},
		{"attempts", strconv.Itoa(r.MaxAttempts)},
		{"priority", strconv.Itoa(r.Priority)},
		{"public", formatBool(r.Public)},
		{"sticky", formatBool(r.Sticky)},
		{"resumable", formatBool(r.Resumable)},
	}
}

func serviceFields(s platform.ServiceEntry) []field {
	return []field{
		{"connections", strconv.Itoa(s.MaxConnections)},
		{"slots", strconv.Itoa(s.Slots)},
		{"cache tokens", strconv.Itoa(s.CacheTokens)},
		{"bytes of a cached token", formatNumber(s.CacheTokenBytes)},
		{"link Mbit/s", formatNumber(s.LinkMbps)},
		{"cold time", formatDuration(s.ColdTime)},
		{"cold calls a second", formatNumber(s.ColdRate)},
	}
}

// keyChanges says how many API keys a workspace has got and lost.
func keyChanges(from, to platform.WorkspaceEntry) []field {
	added, removed := countMissing(to.Keys, from.Keys), countMissing(from.Keys, to.Keys)
	var words []string
	if added > 0 {
		words = append(words, fmt.Sprintf("%d added", added))
	}
	if removed > 0 {
		words = append(words, fmt.Sprintf("%d removed", removed))
	}
	if words == nil {
		return nil
	}
	return []field{{"API keys", strings.Join(words, ", ")}}
}

// countMissing returns how many different keys are not in others.
func countMissing(keys, others []string) int {
	missing := make(map[string]bool)
	for _, key := range keys {
		missing[key] = true
	}
	for _, key := range others {
		delete(missing, key)
	}
	return len(missing)
}

func formatKeys(n int) string {
	if n == 1 {
		return "1 API key"
	}
	return fmt.Sprintf("%d API keys", n)
}

// formatSplit returns the services of a route, with their weights if there are several.
func formatSplit(split []state.WeightedService) string {
	if len(split) == 0 {
		return "none"
	}
	var words []string
	for _, s := range split {
		if len(split) == 1 && s.Weight > 0 {
			return strconv.Quote(s.Service)
		}
		words = append(words, fmt.Sprintf("%q weight %d", s.Service, s.Weight))
	}
	return strings.Join(words, ", ")
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return unset
	}
	return d.String()
}

func formatNumber(n float64) string {
	if n == 0 {
		return unset
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
