package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minAnswerTokens   = 8
	answerTokensRange = 24
	lengthPrefix      = "length="
)

var vocabulary = strings.Fields("wax coat seam hood dry warm rinse press cuff kit felt stitch knot wool loop sole turn row count hold")

type (
	// Message is one message of a chat.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
)

// Answer returns the tokens with which every stand-in engine answers the messages. They depend
// only on the model and the messages. A word such as length=200 in the last message sets the
// number of tokens.
func Answer(model string, messages []Message) []string {
	seed := prefixHash(model, messages)
	n := minAnswerTokens + int(seed%answerTokensRange)
	if len(messages) > 0 {
		n = requestedLength(messages[len(messages)-1].Content, n)
	}

	tokens := make([]string, n)
	for i := range tokens {
		h := xxhash.Sum64String(strconv.FormatUint(seed, 16) + ":" + strconv.Itoa(i))
		tokens[i] = " " + vocabulary[h%uint64(len(vocabulary))] + strconv.Itoa(i)
	}
	return tokens
}

// requestedLength returns the number in the first valid length= word of content, or fallback.
func requestedLength(content string, fallback int) int {
	for _, w := range strings.Fields(content) {
		digits, found := strings.CutPrefix(w, lengthPrefix)
		if !found {
			continue
		}
		if n, err := strconv.Atoi(digits); err == nil && n > 0 {
			return n
		}
	}
	return fallback
}

// prefixHash hashes the model and the messages; it identifies a cached prefix and seeds the answer.
func prefixHash(model string, messages []Message) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for _, m := range messages {
		_, _ = d.WriteString("\x00" + m.Role + "\x01" + m.Content)
	}
	return d.Sum64()
}

func countTokens(m Message) int {
	return 1 + len(strings.Fields(m.Content))
}
