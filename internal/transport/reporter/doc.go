// Package reporter serves the metrics, health, readiness and status of an
// instance over HTTP.
//
// Metrics are kept in a go-metrics registry. That library does not support
// labels, so a [Series] is registered under its string form, which includes the
// labels. [Registry.WriteTo] writes the series in the text exposition format that
// common metrics collectors scrape. Histograms use [BucketSample] instead of the
// library's reservoir samples: a reservoir of 1,028 values takes about 16 KB,
// which is too much for each of thousands of workspaces.
//
// Invariant: recording a value in a [BucketSample] or a counter takes no lock and
// does not allocate.
package reporter
