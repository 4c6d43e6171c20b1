package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hickoryrock/platform/platformtest"
)

// answer is what a caller has received.
type answer struct {
	// status is zero without an answer.
	status int
	// whole is set if the answer came to its end.
	whole bool
	body  []byte
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return "no answer"
	case !a.whole:
		return fmt.Sprintf("%d, broken off", a.status)
	}
	return fmt.Sprintf("%d, whole", a.status)
}

// call sends a request on a new connection and reads the answer.
func call(r *record, address string, request platformtest.CallerRequest) answer {
	r.add("caller sends %s to %s", request.ID, address)
	a, err := exchange(address, request)
	if err != nil {
		r.add("caller of %s gets %v (%v)", request.ID, a, err)
	} else {
		r.add("caller of %s gets %v", request.ID, a)
	}
	return a
}

func exchange(address string, request platformtest.CallerRequest) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp4", address)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(request.Deadline))
	if _, err := io.WriteString(c, request.Encode()); err != nil {
		return answer{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 == 2 && !platformtest.IsSealed(resp.Header) {
		err = errors.New("no seal")
	}
	return answer{status: resp.StatusCode, whole: err == nil, body: body}, err
}
