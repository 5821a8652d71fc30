//! Request slots, connections and the queue of one upstream.
