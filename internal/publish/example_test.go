package publish_test

import (
	"context"
	"fmt"

	"github.com/chervilladder/chervilladder/internal/platformtest"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

func ExamplePublisher() {
	files, err := servicefile.ReadPaths("../../examples")
	if err != nil {
		fmt.Println(err)
		return
	}
	store := platformtest.New()
	p, err := publish.New(publish.Config{Platform: store, Operator: "ana"})
	if err != nil {
		fmt.Println(err)
		return
	}
	index, err := p.Publish(context.Background(), publish.Change{Files: files})
	fmt.Println(index.Revision, err)
	// Output: 1 <nil>
}
