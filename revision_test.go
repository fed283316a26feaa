package chervilladder_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// The store gives revisions out again in a later era, so the lower number is the later
// revision here.
func ExampleStoreRevision_After() {
	known := chervilladder.StoreRevision{Era: 1, Revision: 113}
	received := chervilladder.StoreRevision{Era: 2, Revision: 109}
	fmt.Println(received.After(known), received.Later(known))
	// Output: true 2/109
}

// Earlier builds expect a number.
func TestStoreRevisionIsEncodedAsANumber(t *testing.T) {
	is := is.New(t)
	text, err := json.Marshal(chervilladder.StoreRevision{Era: 2, Revision: 109})
	is.NoErr(err)
	is.Equal(string(text), "109")
	var r chervilladder.StoreRevision
	is.NoErr(json.Unmarshal(text, &r))
	is.Equal(r.In(2), chervilladder.StoreRevision{Era: 2, Revision: 109})
	is.Equal(chervilladder.StoreRevision{Era: 3}.In(2).Era, chervilladder.Era(3))
}
