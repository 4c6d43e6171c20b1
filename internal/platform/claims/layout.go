package claims

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"hickoryrock/internal/platform/objects"
)

const (
	// KindClaims is the kind of the objects that hold claims.
	KindClaims = "claims"
	// KindWatermark is the kind of the object that holds the expiry watermark.
	KindWatermark = "claims-mark"
)

const (
	ageInWindow keyAge = iota
	ageExpired
	ageFuture
)

var watermarkKey = objects.Key{Kind: KindWatermark, Name: "expired"}

type (
	// bucket is the index of a time span of BucketLength since the Unix epoch.
	bucket int64

	// keyAge classifies a key's timestamp.
	keyAge int

	// watermark holds the last bucket that accepts no more claims (Expired) and the
	// last bucket whose objects are deleted (Deleted). Expired is raised before
	// anything is deleted.
	watermark struct {
		Expired bucket `json:"expired"`
		Deleted bucket `json:"deleted"`
	}
)

// entryID returns the name of a key's entry. It includes the workspace, so that equal
// keys of different workspaces are independent.
func entryID(workspace string, key uuid.UUID) string {
	return workspace + "/" + base64.RawURLEncoding.EncodeToString(key[:])
}

func (o Options) bucketOf(t time.Time) bucket {
	return bucket(t.UnixMilli() / o.BucketLength.Milliseconds())
}

// ShardOf returns the shard of a key. It is the same on every router.
func (o Options) ShardOf(workspace string, key uuid.UUID) uint32 {
	return uint32(xxhash.Sum64String(entryID(workspace, key)) % uint64(o.Shards))
}

func objectKey(b bucket, shard uint32) objects.Key {
	return objects.Key{Kind: KindClaims, Name: fmt.Sprintf("v1-%012d-%04d", b, shard)}
}

// age classifies a key's timestamp relative to now.
func (o Options) age(key uuid.UUID, now time.Time) keyAge {
	t := KeyTime(key)
	switch {
	case t.Before(now.Add(-o.Window)):
		return ageExpired
	case t.After(now.Add(o.MaxClockSkew)):
		return ageFuture
	}
	return ageInWindow
}

// lastExpiredBucket returns the last bucket whose keys have expired by every router's
// clock, if clocks differ by at most MaxClockSkew.
func (o Options) lastExpiredBucket(now time.Time) bucket {
	return o.bucketOf(now.Add(-o.Window-2*o.MaxClockSkew)) - 1
}
