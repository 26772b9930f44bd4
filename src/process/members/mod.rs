//! Membership of the site: links to other nodes, the table of their records, and facts shared by all nodes.

pub mod backoff;
pub mod control_view;
pub mod link_task;
pub mod links;
pub mod membership;
pub mod notices;
pub mod record;
pub mod table;
