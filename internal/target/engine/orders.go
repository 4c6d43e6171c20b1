package engine

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/target/orders"
)

const ordersPath = "/orders"

// OrderClient sends orders to engines; it implements orders.Engine.
type OrderClient struct {
	client *Client
}

// NewOrderClient returns an OrderClient that sends its requests through c.
func NewOrderClient(c *Client) *OrderClient {
	return &OrderClient{client: c}
}

// Order implements orders.Engine.
func (o *OrderClient) Order(ctx context.Context, address string, order orders.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	f := o.client.command(ctx, address, ordersPath, bytes.NewReader(body))
	if f == nil {
		return nil
	}
	if f.Reason == outcome.ReasonTargetRefused {
		return eris.Wrapf(orders.ErrFenced, "%s", f.Detail)
	}
	return f
}

// Report implements orders.Engine.
func (o *OrderClient) Report(ctx context.Context, address string) (orders.Report, error) {
	l, f := o.client.Load(ctx, address)
	if f != nil {
		return orders.Report{}, f
	}
	return orders.Report{Role: l.Role, Models: l.Models, Fencing: l.Fencing}, nil
}
