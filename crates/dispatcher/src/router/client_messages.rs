//! Handles the messages of clients.
use super::state::{Client, Router};
use super::visits::ArrivedVisit;
use crate::clients::Outlet;
use crate::connection::Connection;
use crate::ids::ClientId;
use crate::inbox::FromClient;
use crate::msgpack;
use cherrypass::ids::VisitId;
use std::sync::Arc;

impl Router {
    pub(super) fn handle_client(&mut self, client: ClientId, message: FromClient) {
        match message {
            // The close may have overtaken earlier messages of the connection.
            FromClient::Opened { connection } if connection.is_shut_down() => {}
            FromClient::Opened { connection } => self.add_client(client, connection),
            FromClient::Visit { id, request, received_at, in_use, cancel } => {
                if cancel.is_live() {
                    self.open_visit(ArrivedVisit {
                        client,
                        request_id: id,
                        request,
                        received_at,
                        in_use,
                        cancel,
                    });
                }
            }
            FromClient::Malformed { id, field } => {
                self.send_to_client(client, msgpack::bad_request(id, field), None, None)
            }
            FromClient::Status { id } => {
                let parts = msgpack::status(id, !self.hosts.is_empty());
                self.send_to_client(client, parts, None, None);
            }
            FromClient::Withdraw { ids } => self.withdraw(client, &ids),
            FromClient::Closing => self.finish_open_visits(client),
            FromClient::Closed => self.remove_client(client),
        }
    }

    fn add_client(&mut self, id: ClientId, connection: Arc<Connection>) {
        let outlet = Outlet::new(connection);
        let (open_visits, unread_bytes) = Default::default();
        self.clients.insert(id, Client { outlet, open_visits, unread_bytes });
    }

    /// Closes visits that the client has withdrawn.
    fn withdraw(&mut self, id: ClientId, request_ids: &[u32]) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let withdrawn: Vec<VisitId> =
            request_ids.iter().filter_map(|request_id| client.open_visits.remove(request_id)).collect();
        withdrawn.into_iter().for_each(|visit| self.abandon_visit(visit));
    }

    /// Has the open visits of a client answered now.
    fn finish_open_visits(&mut self, id: ClientId) {
        let open = self.clients.get(&id).into_iter().flat_map(|client| client.open_visits.values());
        open.copied().collect::<Vec<_>>().into_iter().for_each(|visit| self.engine.finish_unserved(visit));
    }

    fn remove_client(&mut self, id: ClientId) {
        let Some(client) = self.clients.remove(&id) else { return };
        client.open_visits.into_values().for_each(|visit| self.abandon_visit(visit));
    }
}
