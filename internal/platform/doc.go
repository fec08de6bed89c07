// Package platform states what the system needs of the platform: workers, the
// log service and the host list, each behind a small interface. The shells use
// nothing else of the platform, so that another binding can replace ours.
package platform
