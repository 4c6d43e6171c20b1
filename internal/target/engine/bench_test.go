package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/caller/sse"
)

const idleStreams = 1000

var eventData = []byte(`{"id":"w1.0123456789abcdef","object":"chat.completion.chunk","model":"care",` +
	`"choices":[{"index":0,"delta":{"role":"assistant","content":" word17"},"finish_reason":null}]}`)

// newRawEngine returns the address of a server that sends a response head on each connection and
// then calls write. It adds little cost of its own.
func newRawEngine(b *testing.B, write func(net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, write)
		}
	}()
	return ln.Addr().String()
}

func serveRaw(conn net.Conn, write func(net.Conn)) {
	defer func() { _ = conn.Close() }()
	if discardRequest(conn) != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	write(conn)
}

func discardRequest(conn net.Conn) error {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err
}

func newBenchClient(b *testing.B) *Client {
	c, stop := New(WithMetrics(metrics.NewSet()), WithEventTimeouts(time.Minute, time.Minute))
	b.Cleanup(stop)
	return c
}

// BenchmarkStreamEvent measures reading one event that has already arrived.
func BenchmarkStreamEvent(b *testing.B) {
	address := newRawEngine(b, func(conn net.Conn) {
		w := bufio.NewWriterSize(conn, 64<<10)
		var buf []byte
		for id := 1; ; id++ {
			buf = sse.AppendEvent(buf[:0], id, eventData)
			if _, err := w.Write(buf); err != nil {
				return
			}
		}
	})
	s, f := newBenchClient(b).Stream(context.Background(), Request{Address: address, ID: "s1", Body: []byte("{}")})
	if f != nil {
		b.Fatal(f)
	}
	defer s.Detach()
	b.ReportAllocs()
	for b.Loop() {
		if !s.Next() {
			b.Fatal(s.Failure())
		}
	}
}

// BenchmarkOpenStream measures a stream with one event, including its connection.
func BenchmarkOpenStream(b *testing.B) {
	address := newRawEngine(b, func(conn net.Conn) {
		_, _ = conn.Write(sse.AppendEvent(nil, 1, eventData))
	})
	c := newBenchClient(b)
	for b.Loop() {
		s, f := c.Stream(context.Background(), Request{Address: address, ID: "s1", Body: []byte("{}")})
		if f != nil || !s.Next() {
			b.Fatal(f)
		}
		s.Detach()
	}
}

// BenchmarkIdleStream reports the memory of an open stream without traffic, including the
// goroutine at the engine's end of the connection.
func BenchmarkIdleStream(b *testing.B) {
	address := newRawEngine(b, func(conn net.Conn) {
		_, _ = conn.Write(sse.AppendEvent(nil, 1, eventData))
		var one [1]byte
		_, _ = conn.Read(one[:])
	})
	c := newBenchClient(b)
	for b.Loop() {
		before := memoryInUse()
		ctx, cancel := context.WithCancel(context.Background())
		streams := make([]*Stream, idleStreams)
		for i := range streams {
			s, f := c.Stream(ctx, Request{Address: address, ID: "s1", Body: []byte("{}")})
			if f != nil || !s.Next() {
				b.Fatal(f)
			}
			streams[i] = s
		}
		b.ReportMetric(float64(memoryInUse()-before)/idleStreams, "B/stream")
		for _, s := range streams {
			s.Detach()
		}
		cancel()
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkAssembleEvent measures merging one event into a non-streaming response.
func BenchmarkAssembleEvent(b *testing.B) {
	var builder completionBuilder
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%500 == 0 {
			builder = completionBuilder{}
		}
		if err := builder.add(eventData); err != nil {
			b.Fatal(err)
		}
	}
}
