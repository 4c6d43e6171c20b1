package edge

import (
	"strings"
	"testing"

	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// Guards against a router that does not join its fleet, or follows no changes, because of one
// entry of another writer of any kind.
func TestServesBesideOddEntries(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	store := platformtest.NewStore()
	for name, raw := range map[string]string{
		"a-nested":  string(platformtest.Entry("a-nested", deep)),
		"a-number":  string(platformtest.Entry("a-number", `{"crashes":1e999,"incarnation":1e999,"born":1e999,"version":Infinity}`)),
		"a-address": string(platformtest.Entry("a-address", `{"peer-address":"10.0.0.1:99999","address":"[::1]:0","service":"s","state":"ready"}`)),
		"a-unnamed": `{"metadata":{"name":` + deep + `}}`,
		"a-scalar":  `5`,
	} {
		for _, kind := range []string{platform.KindTargets, platform.KindRouters, platform.KindQuarantine, platform.KindConfigurations} {
			store.SetRaw(kind, name, raw)
		}
	}
	f := newFixtureWithStore(t, store)
	f.configure()
	f.eventually("a call succeeds", func() bool { status, _ := f.call("/a"); return status == 200 })
	f.eventually("the router has joined the fleet", func() bool {
		select {
		case <-f.router.joined:
			return true
		default:
			return false
		}
	})
}
