package assignment_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/peer/assignment"
	"hickoryrock/internal/peer/membership"
)

var start = time.Unix(1_700_000_000, 0)

// fleet returns a view of n routers, two in each failure domain. Routers without a
// state in states are live.
func fleet(n int, states ...membership.State) membership.View {
	v := membership.View{}
	for i := range n {
		m := membership.Member{Name: fmt.Sprintf("router-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i/2), State: membership.Live}
		if i < len(states) {
			m.State = states[i]
		}
		v.Members = append(v.Members, m)
		if m.State == membership.Live || m.State == membership.Suspect {
			v.Live = append(v.Live, m)
		}
	}
	return v
}

// assignFromAll requests the given number of assignments from every router's Assigner, with
// callers from the failure domains in turn, and counts how often each router is assigned.
func assignFromAll(v membership.View, callers int, domains ...string) map[string]int {
	assigned := make(map[string]int)
	for _, m := range v.Members {
		a := assignment.New(m.Name)
		a.Update(v)
		for i := range callers {
			assigned[a.Assign(start, domains[i%len(domains)]).Router]++
		}
	}
	return assigned
}

func assertAssignedWithin(c *qt.C, assigned map[string]int, routers int, least, most int) {
	c.Helper()
	c.Assert(assigned, qt.HasLen, routers)
	for name, n := range assigned {
		c.Assert(n >= least && n <= most, qt.IsTrue, qt.Commentf("%s was assigned %d times", name, n))
	}
}

func TestAssignment(t *testing.T) {
	c := qt.New(t)
	domains := []string{"domain-0", "domain-1", "domain-2", "domain-3"}

	c.Run("callers are spread evenly over the routers of their failure domain", func(c *qt.C) {
		assertAssignedWithin(c, assignFromAll(fleet(8), 100, domains...), 8, 100-8, 100+8)
		assertAssignedWithin(c, assignFromAll(fleet(8), 10, "domain-1"), 8, 1, 8*10/2)
	})

	c.Run("a domain with all callers is assigned at most about twice as often as others", func(c *qt.C) {
		assigned := assignFromAll(fleet(8), 400, "domain-1")
		least := min(assigned["router-0"], assigned["router-4"], assigned["router-7"])
		c.Assert(assigned["router-2"] <= 2*least+2*8, qt.IsTrue, qt.Commentf("%v", assigned))
		c.Assert(assigned["router-2"] > least, qt.IsTrue, qt.Commentf("%v", assigned))
	})

	c.Run("a leaving, dead or joining router is not assigned", func(c *qt.C) {
		assigned := assignFromAll(fleet(8, membership.Leaving, membership.Dead, membership.Joining), 80, domains...)
		assertAssignedWithin(c, assigned, 5, 1, 8*80)
		c.Assert(assigned["router-0"]+assigned["router-1"]+assigned["router-2"], qt.Equals, 0)
	})

	c.Run("a suspect router is assigned only if there is no other", func(c *qt.C) {
		c.Assert(assignFromAll(fleet(4, membership.Suspect), 40, "domain-0")["router-0"], qt.Equals, 0)
		assertAssignedWithin(c, assignFromAll(fleet(1, membership.Suspect), 4, "domain-0"), 1, 4, 4)
	})

	c.Run("a leaving router is not assigned and a new one is not overloaded", func(c *qt.C) {
		a := assignment.New("router-0")
		a.Update(fleet(3))
		for range 400 {
			a.Assign(start, "domain-1")
		}
		a.Update(fleet(4, membership.Leaving))
		assigned := make(map[string]int)
		for range 40 {
			assigned[a.Assign(start, "domain-1").Router]++
		}
		c.Assert(assigned["router-0"], qt.Equals, 0)
		c.Assert(assigned["router-3"] > 0 && assigned["router-3"] <= 40/2+1, qt.IsTrue, qt.Commentf("%v", assigned))
	})

	c.Run("an empty view yields the zero assignment", func(c *qt.C) {
		c.Assert(assignment.New("router-0").Assign(start, "domain-0"), qt.Equals, assignment.Assignment{})
	})
}

func TestDrain(t *testing.T) {
	c := qt.New(t)
	d := assignment.NewDrain(assignment.TTL(30*time.Second), assignment.PropagationTime(5*time.Second))
	c.Assert(d.Phase(start, 0), qt.Equals, assignment.Serving)
	d.Leave(start)
	d.Leave(start.Add(time.Minute))
	c.Assert(d.Phase(start.Add(35*time.Second-1), 0), qt.Equals, assignment.Accepting)
	c.Assert(d.Phase(start.Add(35*time.Second), 1), qt.Equals, assignment.Refusing)
	c.Assert(d.Phase(start.Add(35*time.Second), 0), qt.Equals, assignment.Done)
}

// Guards against a leaving router that stops while it still accepts calls, so that one which
// it has just accepted is cut.
func TestDrainRefusesCallsBeforeItIsDone(t *testing.T) {
	c := qt.New(t)
	d := assignment.NewDrain(assignment.TTL(30*time.Second), assignment.PropagationTime(5*time.Second))
	d.Leave(start)
	c.Assert(d.Phase(start.Add(35*time.Second), 0), qt.Equals, assignment.Refusing)
	c.Assert(d.Phase(start.Add(35*time.Second), 1), qt.Equals, assignment.Refusing)
	c.Assert(d.Phase(start.Add(35*time.Second), 0), qt.Equals, assignment.Done)
}
