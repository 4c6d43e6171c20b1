package ingress_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/wire/http1"
)

// Guards against callers whose disconnect is not noticed, so that targets go on working for
// them, because they have sent more than their call.
func TestDisconnectAfterExtraBytesIsNoticed(t *testing.T) {
	for name, extra := range map[string]string{"an empty line": "\r\n", "another call": sizedRequest(1)} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			causes := make(chan error, 1)
			f.serveWith(disconnectHandler{causes})
			c, err := net.Dial("tcp4", f.address)
			f.Assert(err, qt.IsNil)
			_, err = io.WriteString(c, sizedRequest(1)+extra)
			f.Assert(err, qt.IsNil)
			time.Sleep(20 * time.Millisecond)
			f.Assert(c.Close(), qt.IsNil)
			select {
			case cause := <-causes:
				f.Assert(cause, qt.Equals, ingress.ErrCallerClosed)
			case <-time.After(2 * time.Second):
				f.Fatal("the call goes on 2 s after its caller has disconnected")
			}
		})
	}
}

// disconnectHandler reports why the context of a call has ended.
type disconnectHandler struct{ causes chan error }

func (h disconnectHandler) ServeCall(ctx context.Context, w *ingress.ResponseWriter, _ *http1.Request, _ []byte) {
	<-ctx.Done()
	h.causes <- context.Cause(ctx)
	w.Abort()
}

// Guards against a call that is rejected because its caller has ended the one before with an
// empty line, which a server should ignore (RFC 9112, section 2.2).
func TestEmptyLinesBetweenCallsAreIgnored(t *testing.T) {
	f := newFixture(t)
	f.proceed <- struct{}{}
	f.proceed <- struct{}{}
	r := f.send(sizedRequest(1) + "\r\n\r\n" + sizedRequest(2))
	f.assertStatus(r, 200)
	f.assertStatus(r, 200)
	f.Assert(<-f.received, qt.Equals, 1)
	f.Assert(<-f.received, qt.Equals, 2)
}
