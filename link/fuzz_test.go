package link

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiacross/job"
)

// FuzzDecodeFrame searches for frames that crash an instance or change when they are sent on.
func FuzzDecodeFrame(f *testing.F) {
	messages := []Message{
		{Kind: KindHello, Name: "i", Shard: 1, Token: 7},
		{Kind: KindAdviceResponse, Number: 3, Tickets: []job.Ticket{{Worker: "w", Value: "t"}}, WriteDuration: time.Second},
	}
	var frame []wireMessage
	for i := range messages {
		frame = append(frame, toWire(&messages[i]))
	}
	data, err := cbor.Marshal(frame)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{data, {0x80}, {0xff}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := decodeFrame(data)
		if err != nil {
			return
		}
		for i := range frame {
			m := fromWire(&frame[i])
			wire := toWire(&m)
			if again := fromWire(&wire); !math.IsNaN(m.LeaderCapacity) && !reflect.DeepEqual(again, m) {
				t.Fatalf("decoded %+v, sent on as %+v", m, again)
			}
		}
	})
}
