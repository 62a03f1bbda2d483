package replica_test

import (
	"fmt"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

func Example() {
	r := replica.New(replica.Config{ID: "a", ElectionTicks: 1, HeartbeatTicks: 1, MaxAppendBytes: 1024}, replica.Stored{})
	members := replica.Members{Voters: []replica.Member{{ID: "a"}}}
	events := []replica.Event{
		replica.Formed{Members: members}, replica.Ticked{}, replica.Ticked{}, replica.Proposed{Data: []byte("hello")},
	}
	for _, e := range events {
		var effects []replica.Effect
		r, effects = r.Update(e)
		for _, effect := range effects {
			if apply, ok := effect.(replica.Apply); ok && len(apply.Entries[0].Data) > 0 {
				fmt.Println(len(apply.Entries), string(apply.Entries[0].Data))
			}
		}
	}
	fmt.Println(r.Role())
	// Output:
	// 1 hello
	// leader
}
