//go:build crowd

package crowd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
)

// maxDaemonBodyBytes is the default of limits/max_body_bytes.
const maxDaemonBodyBytes = 4 << 20

// TestInstanceLargestBody checks that the bounds leave room for the largest legal body.
func TestInstanceLargestBody(t *testing.T) {
	const job = `{"Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimateMs":50}]}`
	tests := []struct {
		name  string
		bytes int
		want  int
	}{
		{"the largest", maxBodyBytes, http.StatusOK},
		{"one byte more", maxBodyBytes + 1, http.StatusRequestEntityTooLarge},
	}
	p := startInstance(t)
	p.requireOrdinaryAnswer(t)
	for number, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, err := submitBody(p.caller, fmt.Sprintf("d%015x", number), job+strings.Repeat(" ", test.bytes-len(job)))
			if err != nil || code != test.want {
				t.Errorf("status %d, want %d (%v)", code, test.want, err)
			}
		})
	}
	p.requireWithinBounds(t)
}

// TestDaemonLargestBody checks that the bounds leave room for the largest legal body in each
// encoding.
func TestDaemonLargestBody(t *testing.T) {
	tests := []struct {
		name    string
		bytes   int
		options []connect.ClientOption
		want    connect.Code // zero for success
	}{
		{"the largest", maxDaemonBodyBytes, nil, 0},
		{"the largest, JSON", maxDaemonBodyBytes, []connect.ClientOption{connect.WithProtoJSON()}, 0},
		{"the largest, compressed", maxDaemonBodyBytes, []connect.ClientOption{connect.WithSendGzip()}, 0},
		{"one byte more", maxDaemonBodyBytes + 1, nil, connect.CodeInvalidArgument},
	}
	p := startDaemon(t, false)
	for number, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, scheme := p.newClient()
			callers := callerv1connect.NewCallerServiceClient(client, scheme+p.caller.String(), test.options...)
			_, err := callers.Submit(context.Background(), &callerv1.SubmitRequest{
				RequestId: fmt.Sprintf("largest-%d", number), Team: "agronomy", Workload: "season_reconciliation", Body: make([]byte, test.bytes), NoWait: true,
			})
			if got := connect.CodeOf(err); err != nil && got != test.want || err == nil && test.want != 0 {
				t.Errorf("the call ends with %v, want code %v", err, test.want)
			}
		})
	}
	p.requireWithinBounds(t)
}
