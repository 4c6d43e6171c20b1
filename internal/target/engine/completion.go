package engine

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

const (
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
	fieldObject        = "object"
	fieldChoices       = "choices"
	fieldUsage         = "usage"
	fieldDelta         = "delta"
	fieldMessage       = "message"
	fieldIndex         = "index"

	completionObject = "chat.completion"
)

type (
	jsonObject = map[string]any

	// completionBuilder builds a non-streaming response from the chunks of a stream.
	completionBuilder struct {
		completion jsonObject
		// choices holds the choices; those with the same index are merged.
		choices []any
	}
)

// lastValueFields are the fields that are overwritten by later chunks; other strings are
// concatenated.
var lastValueFields = map[string]bool{
	"id": true, "role": true, "type": true, "name": true, "model": true, "finish_reason": true,
	"created": true, "service_tier": true, "system_fingerprint": true, fieldIndex: true, fieldObject: true,
}

// streamBody returns the body of a chat request with streaming enabled.
func streamBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, eris.Wrap(err, "decode chat request")
	}
	if fields == nil {
		fields = map[string]json.RawMessage{}
	}
	fields[fieldStream] = json.RawMessage("true")
	fields[fieldStreamOptions] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// add merges the data of one event into the response.
func (b *completionBuilder) add(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var chunk jsonObject
	if err := decoder.Decode(&chunk); err != nil {
		return eris.Wrap(err, "decode chunk")
	}
	if b.completion == nil {
		b.completion = jsonObject{}
	}
	choices, _ := chunk[fieldChoices].([]any)
	delete(chunk, fieldChoices)
	merge(b.completion, chunk)
	b.choices = mergeLists(b.choices, choices)
	return nil
}

// build returns the response as JSON.
func (b *completionBuilder) build() ([]byte, error) {
	for _, c := range b.choices {
		choice, ok := c.(jsonObject)
		if !ok {
			return nil, eris.New("choice is not a JSON object")
		}
		choice[fieldMessage] = choice[fieldDelta]
		delete(choice, fieldDelta)
	}
	b.completion[fieldObject] = completionObject
	b.completion[fieldChoices] = b.choices
	return json.Marshal(b.completion)
}

// merge applies a delta to dst: strings are concatenated, lists are merged by index.
func merge(dst, delta jsonObject) {
	for name, value := range delta {
		if value == nil {
			if _, ok := dst[name]; !ok {
				dst[name] = nil
			}
			continue
		}
		dst[name] = mergeValue(name, dst[name], value)
	}
}

func mergeValue(name string, old, value any) any {
	if lastValueFields[name] || name == fieldUsage {
		if value == "" && old != nil {
			return old
		}
		return value
	}
	switch v := value.(type) {
	case string:
		text, _ := old.(string)
		return text + v
	case []any:
		list, _ := old.([]any)
		return mergeLists(list, v)
	case jsonObject:
		fields, ok := old.(jsonObject)
		if !ok {
			fields = jsonObject{}
		}
		merge(fields, v)
		return fields
	default:
		return value
	}
}

// mergeLists merges elements with the same index and appends elements without one.
func mergeLists(list, delta []any) []any {
	for _, value := range delta {
		element, ok := value.(jsonObject)
		if !ok || element[fieldIndex] == nil {
			list = append(list, value)
			continue
		}
		dst := findByIndex(list, element[fieldIndex])
		if dst == nil {
			dst = jsonObject{}
			list = append(list, dst)
		}
		merge(dst, element)
	}
	return list
}

func findByIndex(list []any, index any) jsonObject {
	for _, value := range list {
		if element, ok := value.(jsonObject); ok && element[fieldIndex] == index {
			return element
		}
	}
	return nil
}
