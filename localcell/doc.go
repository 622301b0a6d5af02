// Package localcell runs a complete small cell inside one process on loopback
// addresses: instances, workers and the platform's stand-in. It is for
// demonstrations and tests; the daemon does not use it.
//
// # Usage
//
//	cell, err := localcell.Start(ctx, localcell.Options{Deployment: localcell.Coban()})
//	if err != nil {
//		return err
//	}
//	defer cell.Close()
//	report := cell.RunLoad(ctx, localcell.Load{End: time.Now().Add(10 * time.Second), Rate: 200})
package localcell
