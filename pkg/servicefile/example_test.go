package servicefile_test

import (
	"fmt"

	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

func ExampleParse() {
	_, err := servicefile.Parse("rooms.json", []byte(`{"service": "rooms", "classes": 3}`))
	fmt.Println(err)
	// Output:
	// rooms.json:1:1: the file lacks the key "databases"; add it
	// rooms.json:1:1: the file lacks the key "default-class"; add it
	// rooms.json:1:33: "classes" of the file has the wrong type; write a list in brackets
}

func ExampleCatalogue() {
	files, err := servicefile.ReadPaths("../../examples")
	if err != nil {
		fmt.Println(err)
		return
	}
	catalogue, err := servicefile.Catalogue(1, files)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(catalogue.Databases["cases-1"].Upstreams[0].Address)
	// Output: 127.0.0.1:22011
}
