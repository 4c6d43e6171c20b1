package membership

import "time"

const (
	budgetSlot  = 100 * time.Millisecond
	budgetSlots = int(time.Second/budgetSlot) + 1
)

// budget limits the bytes sent within any second. It counts bytes per time slot and
// covers one slot more than a second, so that no window of a second exceeds the limit.
type budget struct {
	limit    int
	start    time.Time
	slots    [budgetSlots]int
	lastSlot int64
	used     int
}

// available returns how many bytes may be sent now.
func (b *budget) available(now time.Time) int {
	b.advance(now)
	return b.limit - b.used
}

// spend deducts n bytes from the budget and returns true, or returns false when
// fewer are available.
func (b *budget) spend(now time.Time, n int) bool {
	if n > b.available(now) {
		return false
	}
	b.slots[b.lastSlot%int64(budgetSlots)] += n
	b.used += n
	return true
}

// advance releases the slots that are no longer within the covered time.
func (b *budget) advance(now time.Time) {
	slot := int64(now.Sub(b.start) / budgetSlot)
	if slot-b.lastSlot > int64(budgetSlots) {
		b.slots, b.used, b.lastSlot = [budgetSlots]int{}, 0, slot
		return
	}
	for b.lastSlot < slot {
		b.lastSlot++
		i := b.lastSlot % int64(budgetSlots)
		b.used -= b.slots[i]
		b.slots[i] = 0
	}
}
