package disk_test

import (
	"fmt"
	"os"

	"github.com/cranberrywind/cranberrywind/pkg/disk"
)

func ExampleOpen() {
	dir, err := os.MkdirTemp("", "disk-example-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store, _, closeStore, err := disk.Open(dir)
	if err != nil {
		panic(err)
	}
	fmt.Println(store.Append([]byte("first")), closeStore())
	_, records, closeStore, err := disk.Open(dir)
	fmt.Println(string(records[0]), err, closeStore())
	// Output:
	// <nil> <nil>
	// first <nil> <nil>
}
