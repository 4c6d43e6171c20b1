package replica

import (
	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/platform/objects"
)

// updatesToProto converts updates to their wire format.
func updatesToProto(updates []Update) []*peerv1.Object {
	list := make([]*peerv1.Object, 0, len(updates))
	for _, u := range updates {
		list = append(list, &peerv1.Object{Kind: u.Newest.Kind, Name: u.Newest.Name, Version: u.Newest.Version,
			Deleted: u.Newest.Deleted, Data: u.Newest.Data, GoodVersion: u.LastGood.Version, GoodData: u.LastGood.Data})
	}
	return list
}

// updatesFromProto is the inverse of updatesToProto.
func updatesFromProto(list []*peerv1.Object) []Update {
	updates := make([]Update, 0, len(list))
	for _, m := range list {
		k := objects.Key{Kind: m.GetKind(), Name: m.GetName()}
		u := Update{Newest: objects.Object{Key: k, Version: m.GetVersion(), Deleted: m.GetDeleted(), Data: m.GetData()}}
		if m.GetGoodVersion() > 0 {
			u.LastGood = objects.Object{Key: k, Version: m.GetGoodVersion(), Data: m.GetGoodData()}
		}
		updates = append(updates, u)
	}
	return updates
}
