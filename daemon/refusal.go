package daemon

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// refuse writes an error response with the status, headers and retry delay
// that package fault defines for the error's kind.
func refuse(w http.ResponseWriter, err error) {
	kind := fault.KindOf(err)
	a := kind.Answer()
	var e *fault.Error
	if errors.As(err, &e) {
		a = e.Answer()
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((a.RetryAfter+time.Second-1)/time.Second)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Dogwood-Fault", kind.String())
	w.WriteHeader(a.Status)
	json.NewEncoder(w).Encode(Failure{Kind: kind.String(), Message: err.Error(), Ran: a.Ran.String()})
}
