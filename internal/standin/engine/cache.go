package engine

import (
	"container/list"
	"strconv"
	"sync"
	"time"
)

type (
	// CacheEvent reports that a prefix was stored or evicted. Sequence numbers start at 1.
	CacheEvent struct {
		Sequence int    `json:"sequence"`
		Kind     string `json:"kind"`
		Prefix   string `json:"prefix"`
		Tokens   int    `json:"tokens"`

		at time.Time
	}

	// KV is the exported cache content of one conversation, shortest prefix first.
	KV struct {
		Conversation string     `json:"conversation"`
		Prefixes     []KVPrefix `json:"prefixes"`
	}

	// KVPrefix is one cached prefix. Tokens counts only its last message.
	KVPrefix struct {
		Hash   string `json:"hash"`
		Tokens int    `json:"tokens"`
	}

	// prefixCache is an LRU cache of prompt prefixes with a capacity in tokens.
	prefixCache struct {
		mu            sync.Mutex
		maxTokens     int
		usedTokens    int
		lru           *list.List
		prefixes      map[string]*list.Element
		conversations map[string][]string
		events        []CacheEvent
		lastSequence  int
	}
)

const (
	eventStored  = "stored"
	eventEvicted = "evicted"

	maxCacheEvents = 4096
	// maxUncachedConversations bounds the conversations that stay listed although none of their
	// prefixes is cached.
	maxUncachedConversations = 4096
)

func newPrefixCache(maxTokens int) *prefixCache {
	return &prefixCache{
		maxTokens: maxTokens, lru: list.New(),
		prefixes: map[string]*list.Element{}, conversations: map[string][]string{},
	}
}

// messagePrefixes returns the prefixes of the messages, shortest first, each with the number of
// tokens that it adds.
func messagePrefixes(model string, messages []Message) []KVPrefix {
	prefixes := make([]KVPrefix, len(messages))
	for i := range messages {
		h := prefixHash(model, messages[:i+1])
		prefixes[i] = KVPrefix{Hash: strconv.FormatUint(h, 16), Tokens: countTokens(messages[i])}
	}
	return prefixes
}

// matchedTokens returns the number of tokens in the longest cached prefix, and marks the
// prefixes as recently used.
func (c *prefixCache) matchedTokens(prefixes []KVPrefix) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range prefixes {
		e, ok := c.prefixes[p.Hash]
		if !ok {
			break
		}
		c.lru.MoveToFront(e)
		n += p.Tokens
	}
	return n
}

// store adds the prefixes of a conversation and evicts the least recently used prefixes beyond
// the capacity.
func (c *prefixCache) store(conversation string, prefixes []KVPrefix) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hashes := make([]string, len(prefixes))
	// Insert the longest prefix first, so that eviction removes the end of a conversation
	// before its start.
	for i := len(prefixes) - 1; i >= 0; i-- {
		hashes[i] = prefixes[i].Hash
		c.put(prefixes[i])
	}
	if conversation != "" && len(hashes) > 0 {
		c.conversations[conversation] = hashes
	}
	for c.usedTokens > c.maxTokens {
		c.evict(c.lru.Back())
	}
	if len(c.conversations) > maxUncachedConversations+2*len(c.prefixes) {
		c.dropUncached()
	}
}

// dropUncached removes the conversations of which no prefix is cached.
func (c *prefixCache) dropUncached() {
	for name, hashes := range c.conversations {
		if _, ok := c.prefixes[hashes[0]]; !ok {
			delete(c.conversations, name)
		}
	}
}

func (c *prefixCache) put(p KVPrefix) {
	if e, ok := c.prefixes[p.Hash]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.prefixes[p.Hash] = c.lru.PushFront(p)
	c.usedTokens += p.Tokens
	c.recordEvent(eventStored, p)
}

func (c *prefixCache) evict(e *list.Element) {
	p := c.lru.Remove(e).(KVPrefix)
	delete(c.prefixes, p.Hash)
	c.usedTokens -= p.Tokens
	c.recordEvent(eventEvicted, p)
}

func (c *prefixCache) recordEvent(kind string, p KVPrefix) {
	c.lastSequence++
	c.events = append(c.events, CacheEvent{
		Sequence: c.lastSequence, Kind: kind, Prefix: p.Hash, Tokens: p.Tokens, at: time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are at least lag old. It omits
// every gap-th event; a gap of 0 omits none.
func (c *prefixCache) eventsAfter(sequence int, lag time.Duration, gap int) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence <= sequence || time.Since(e.at) < lag {
			continue
		}
		if gap > 0 && e.Sequence%gap == 0 {
			continue
		}
		events = append(events, e)
	}
	return events
}

// export returns the cached prefixes of a conversation, and false if there are none.
func (c *prefixCache) export(conversation string) (KV, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kv := KV{Conversation: conversation, Prefixes: []KVPrefix{}}
	for _, h := range c.conversations[conversation] {
		e, ok := c.prefixes[h]
		if !ok {
			break
		}
		kv.Prefixes = append(kv.Prefixes, e.Value.(KVPrefix))
	}
	return kv, len(kv.Prefixes) > 0
}

// cachedConversations returns the number of cached tokens of each conversation that has any.
func (c *prefixCache) cachedConversations() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := make(map[string]int, len(c.conversations))
	for name, hashes := range c.conversations {
		n := 0
		for _, h := range hashes {
			e, ok := c.prefixes[h]
			if !ok {
				break
			}
			n += e.Value.(KVPrefix).Tokens
		}
		if n > 0 {
			tokens[name] = n
		}
	}
	return tokens
}

// utilization returns the used share of the capacity, and 1 if the capacity is 0.
func (c *prefixCache) utilization() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxTokens == 0 {
		return 1
	}
	return float64(c.usedTokens) / float64(c.maxTokens)
}
