package state

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/testgolden"
	"github.com/vmihailenco/msgpack/v5"
)

// encodeSorted encodes the body of a request with sorted map keys, so that the bytes are the same in
// every run.
func encodeSorted(t *testing.T, v any) []byte {
	t.Helper()
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.SetSortMapKeys(true)
	if err := e.Encode(v); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestGoldenRequests guards against a change of the requests, which the state service would not
// understand.
func TestGoldenRequests(t *testing.T) {
	for name, req := range map[string]message.StoreRequest{
		"txn": {
			Kind: message.OpTxn, Compares: []message.Compare{{Key: "ctl/lead", ModRevision: 411}, {Key: "open/job-000412", ModRevision: 412}},
			Writes: []message.Write{
				{Key: "job/job-000412", Value: []byte{0x81, 0xa1, 's', 0xa4, 'd', 'o', 'n', 'e'}},
				{Key: "open/job-000412"}, {Key: "ctl/node/ctl-2", Value: []byte{0x80}, LeaseID: 413},
			},
		},
		"txn-bare":     {Kind: message.OpTxn},
		"lease-grant":  {Kind: message.OpLeaseGrant, TTL: 6_500 * time.Millisecond},
		"lease-renew":  {Kind: message.OpLeaseRenew, LeaseID: 414},
		"lease-revoke": {Kind: message.OpLeaseRevoke, LeaseID: 415},
		"get":          {Kind: message.OpGet, Key: "job/job-000412"},
		"list":         {Kind: message.OpList, Key: "open/", StartAfter: "open/job-000412"},
		"list-first":   {Kind: message.OpList, Key: "open/"},
		"watch":        {Kind: message.OpWatch, Key: "ctl/", Revision: 416, WatchTimeout: 9_500 * time.Millisecond},
	} {
		method, path, body := encodeRequest(req)
		sent := []byte(method + " " + path + "\n")
		if body != nil {
			sent = append(sent, encodeSorted(t, body)...)
		}
		testgolden.CheckBytes(t, "request-"+name, sent)
	}
}

// TestGoldenResponses guards against a field of the state service's responses that the client does not
// read or takes for another field.
func TestGoldenResponses(t *testing.T) {
	raw := func(s string) msgpack.RawMessage { return append(msgpack.RawMessage{0xa0 | byte(len(s))}, s...) }
	values := testgolden.Values{"response": response{
		Key: "job/job-000411", Value: raw("one"), ModRevision: 411, Revision: 412, Truncated: true, Failed: []string{"ctl/lead"}, Lease: 413, Error: "lease over",
		Items: []storedItem{{Key: "open/job-000412", Put: "open/job-000413", Remove: "open/job-000414", Value: raw("two"), ModRevision: 414}},
		Changes: []storedItem{
			{Key: "-", Put: "open/job-000415", Value: raw("three"), ModRevision: 415}, {Key: "-", Remove: "open/job-000416", Value: raw("four"), ModRevision: 416},
		},
	}}
	codec := testgolden.Msgpack
	// A missing value would be encoded as zero bytes, which is not valid MessagePack.
	codec.Strict = true
	testgolden.Check(t, codec, values)
	_, _, body := encodeRequest(message.StoreRequest{Kind: message.OpTxn, Compares: []message.Compare{{Key: "ctl/lead", ModRevision: 411}}, Writes: []message.Write{{Key: "open/job-000412"}}})
	values["request"] = body
	testgolden.CheckCoverage(t, values)

	var reply response
	if err := codec.Read(testgolden.Bytes(t, "response"), &reply); err != nil {
		t.Fatal(err)
	}
	got := message.StoreResponse{Status: message.StoreOK}
	decodeResponse(&got, true, &reply)
	want := message.StoreResponse{Status: message.StoreOK, Truncated: true, Revision: 412, FailedKeys: []string{"ctl/lead"}, LeaseID: 413, KeyValues: []message.KeyValue{
		{Key: "job/job-000411", Value: raw("one"), ModRevision: 411},
		{Key: "open/job-000412", Value: raw("two"), ModRevision: 414},
		{Key: "open/job-000415", Value: raw("three"), ModRevision: 415},
		{Key: "open/job-000416", Value: raw("four"), ModRevision: 416, Deleted: true},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("response: got\n%+v\nwant\n%+v", got, want)
	}
}
