package group

import (
	"fmt"
	"strings"

	"github.com/chervilladder/chervilladder"
)

// Addresses holds the addresses at which the members of a group reach each
// other.
type Addresses map[chervilladder.UpstreamID]chervilladder.Address

// ParseAddresses parses a list of the form NAME=ADDRESS,NAME=ADDRESS. An empty
// text yields an empty list.
func ParseAddresses(text string) (Addresses, error) {
	list := Addresses{}
	if text == "" {
		return list, nil
	}
	for entry := range strings.SplitSeq(text, ",") {
		name, address, ok := strings.Cut(strings.TrimSpace(entry), "=")
		if !ok || name == "" || address == "" {
			return nil, fmt.Errorf("group: %q is not of the form NAME=ADDRESS", entry)
		}
		if _, ok := list[chervilladder.UpstreamID(name)]; ok {
			return nil, fmt.Errorf("group: member %q is listed twice", name)
		}
		list[chervilladder.UpstreamID(name)] = chervilladder.Address(address)
	}
	return list, nil
}
