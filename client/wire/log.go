package wire

import (
	"net/http"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const maxElements = 1 << 20

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// EncodeRecords returns the body of an append.
func EncodeRecords(records [][]byte) ([]byte, error) {
	return encoder.Marshal(records)
}

// DecodeRecords returns the records in an append's body.
func DecodeRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	if err := decoder.Unmarshal(body, &records); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decode records")
	}
	return records, nil
}

// EncodePage returns the body of the response to a read.
func EncodePage(page provider.Page) ([]byte, error) {
	return encoder.Marshal(page)
}

// DecodePage returns the page in the response to a read.
func DecodePage(body []byte) (provider.Page, error) {
	var page provider.Page
	if err := decoder.Unmarshal(body, &page); err != nil {
		return provider.Page{}, fault.Wrap(fault.Invalid, err, "decode page")
	}
	return page, nil
}

// RefuseExpired refuses a read of an offset that is no longer retained. The body
// is a page with the bounds of the retained offsets.
func RefuseExpired(w http.ResponseWriter, page provider.Page) {
	body, err := EncodePage(provider.Page{Oldest: page.Oldest, Next: page.Next})
	if err != nil {
		Refuse(w, fault.Wrap(fault.Internal, err, "encode page"))
		return
	}
	setRefusal(w.Header(), fault.New(fault.Expired, "offset expired"))
	w.Header().Set("Content-Type", TypeCBOR)
	w.WriteHeader(fault.Expired.Answer().Status)
	_, _ = w.Write(body) // fails only if the client disconnected
}

// ValidStream reports whether name is a valid stream name: non-empty path
// segments of letters, digits, dots, dashes and underscores, none of which
// consists of dots only.
func ValidStream(name string) bool {
	if len(name) == 0 || len(name) > 200 {
		return false
	}
	for segment := range strings.SplitSeq(name, "/") {
		if strings.Trim(segment, ".") == "" || strings.ContainsFunc(segment, isInvalidInSegment) {
			return false
		}
	}
	return true
}

func isInvalidInSegment(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	default:
		return !strings.ContainsRune("._-", r)
	}
}

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}
