package pressure

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// maxRecordWeights bounds a record. A site has a few hundred pairs of images.
const maxRecordWeights = 1000

// weightRecord is the stored form of a weight.
type weightRecord struct {
	Served   string  `cbor:"1,keyasint"`
	Fill     string  `cbor:"2,keyasint"`
	Value    float32 `cbor:"3,keyasint"`
	Variance float32 `cbor:"4,keyasint"`
}

// Encode returns a record of the weights, without the bases, which change within
// seconds.
func (e *Estimator) Encode() ([]byte, error) {
	rows := make([]weightRecord, 0, len(e.weights))
	for k, w := range e.weights {
		rows = append(rows, weightRecord{Served: k.served, Fill: k.fill, Value: float32(w.value), Variance: float32(w.variance)})
	}
	slices.SortFunc(rows, func(a, b weightRecord) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Served, b.Served), cmp.Compare(a.Fill, b.Fill))
	})
	data, err := cbor.Marshal(rows[:min(len(rows), maxRecordWeights)])
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "record of weights")
	}
	return data, nil
}

// Load replaces weights by those of a record.
func (e *Estimator) Load(data []byte) error {
	var rows []weightRecord
	if err := cbor.Unmarshal(data, &rows); err != nil {
		return fault.Wrap(fault.Invalid, err, "record of weights")
	}
	for _, r := range rows {
		e.weights[pair{r.Served, r.Fill}] = &estimate{value: float64(r.Value), variance: float64(r.Variance)}
	}
	return nil
}
