package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/platform/objects"
)

// RegisterVM adds a VM to the VM list of a running stand-in. The real platform maintains this
// list by itself.
func RegisterVM(ctx context.Context, args []string) error {
	var vm objects.VM
	flags := flag.NewFlagSet("vm", flag.ContinueOnError)
	base := flags.String("platform", "http://127.0.0.1:7000", "base URL of the platform stand-in")
	state := flags.String("state", string(objects.VMLive), "state of the VM: live or leaving")
	flags.StringVar(&vm.Name, "name", "", "name of the VM")
	flags.StringVar(&vm.Role, "role", "router", "role of the VM: router or target")
	flags.StringVar(&vm.PeerAddress, "peer", "", "IP:port that other routers connect to")
	flags.StringVar(&vm.CallerAddress, "caller", "", "IP:port that callers connect to")
	flags.StringVar(&vm.FailureDomain, "domain", "", "failure domain of the VM")
	if err := flags.Parse(args); err != nil {
		return eris.Wrap(err, "registering the VM")
	}
	vm.State = objects.VMState(*state)
	body, err := json.Marshal(vm)
	if err != nil {
		return eris.Wrap(err, "registering the VM")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, *base+"/v1/vms", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "registering the VM")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "registering the VM")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("platform rejected the VM: %s", resp.Status)
	}
	return nil
}
