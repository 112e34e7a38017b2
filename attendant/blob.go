package attendant

import (
	"context"

	"wisteriacroft/blob"
	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// RPC methods of a data folder.
const (
	DepotDeleteMethod = "Depot.Delete"
	DepotGetMethod    = "Depot.Get"
	DepotListMethod   = "Depot.List"
	BlobPutMethod     = "Depot.Put"
)

// A BlobRequest names a payload by its digest. Data is set only for BlobPutMethod.
type BlobRequest struct {
	Data   []byte
	Digest string
}

// A BlobResponse holds a payload or the list of payloads.
type BlobResponse struct {
	Data    []byte
	Entries []blob.Entry
}

// blobCodes are the errors of a data folder that are encoded over RPC.
var blobCodes = []peer.Code{
	{Err: blob.ErrFull, Name: "depot-full"},
	{Err: blob.ErrMissing, Name: "depot-missing"},
}

// HandleBlobs registers the RPC methods of a data folder.
func HandleBlobs(sv *peer.Server, st *blob.Store) {
	sv.Codes = append(sv.Codes, blobCodes...)
	handle := func(method string, fn func(req BlobRequest) (BlobResponse, error)) {
		peer.Handle(sv, method, func(_ context.Context, _ message.Header, req BlobRequest) (BlobResponse, error) {
			return fn(req)
		})
	}
	handle(DepotDeleteMethod, func(req BlobRequest) (BlobResponse, error) {
		return BlobResponse{}, st.Delete(req.Digest)
	})
	handle(DepotGetMethod, func(req BlobRequest) (BlobResponse, error) {
		data, err := st.Get(req.Digest)
		return BlobResponse{Data: data}, err
	})
	handle(DepotListMethod, func(BlobRequest) (BlobResponse, error) {
		entries, err := st.List()
		return BlobResponse{Entries: entries}, err
	})
	handle(BlobPutMethod, func(req BlobRequest) (BlobResponse, error) {
		return BlobResponse{}, st.Put(req.Digest, req.Data)
	})
}

// NewBlobClient returns a client for the data folders of other processes.
func NewBlobClient(po *peer.Pool) *blob.Client {
	po.Codes = append(po.Codes, blobCodes...)
	call := func(ctx context.Context, pl message.BlobLocation, method string, req BlobRequest) (BlobResponse, error) {
		return peer.Call[BlobRequest, BlobResponse](ctx, po, pl.Address, method, req)
	}
	return &blob.Client{
		DeleteFunc: func(ctx context.Context, pl message.BlobLocation, digest string) error {
			_, err := call(ctx, pl, DepotDeleteMethod, BlobRequest{Digest: digest})
			return err
		},
		GetFunc: func(ctx context.Context, pl message.BlobLocation, digest string) ([]byte, error) {
			dr, err := call(ctx, pl, DepotGetMethod, BlobRequest{Digest: digest})
			return dr.Data, err
		},
		PutFunc: func(ctx context.Context, pl message.BlobLocation, digest string, data []byte) error {
			_, err := call(ctx, pl, BlobPutMethod, BlobRequest{Data: data, Digest: digest})
			return err
		},
	}
}
