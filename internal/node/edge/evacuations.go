package edge

import "time"

// evacuationView is an evacuated failure domain as served to operators.
type evacuationView struct {
	Domain string `json:"domain"`
	// Since is when this router learned of it, or nil if that was when it started.
	Since *time.Time `json:"since,omitempty"`
	// StoreEra and Revision are those of the set that this router knows.
	StoreEra uint64 `json:"store-era"`
	Revision uint64 `json:"revision"`
}

// evacuationViews returns the failure domains that are evacuated as far as this router knows.
func (r *Router) evacuationViews() []evacuationView {
	set, _ := r.watcher.Evacuations() // A set that is not confirmed yet is in force, too.
	var views []evacuationView
	for _, e := range set.Domains {
		v := evacuationView{Domain: e.Domain, StoreEra: set.Revision.Era, Revision: set.Revision.Number}
		if !e.Since.IsZero() {
			v.Since = &e.Since
		}
		views = append(views, v)
	}
	return views
}

func (r *Router) countEvacuated() float64 {
	set, _ := r.watcher.Evacuations()
	return float64(len(set.Domains))
}
