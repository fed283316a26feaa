package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"strings"
)

// Token is the bearer token that requests must present unless they come from
// loopback.
type Token string

const bearerPrefix = "Bearer "

// authorize restricts a handler to requests that come from loopback or present
// the token.
func (t Token) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case onLoopback(r.RemoteAddr), t.presentedBy(r):
			next.ServeHTTP(w, r)
		case t == "":
			http.Error(w, `only parties on loopback are answered; set "operators-token" to let others in`, http.StatusForbidden)
		default:
			w.Header().Set("WWW-Authenticate", strings.TrimSpace(bearerPrefix))
			http.Error(w, `present the VM's "operators-token" as a bearer token`, http.StatusUnauthorized)
		}
	})
}

func onLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}

// presentedBy reports whether a request presents the token. It compares digests
// in constant time, so that the duration reveals nothing about the token.
func (t Token) presentedBy(r *http.Request) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || t == "" {
		return false
	}
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(t))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
