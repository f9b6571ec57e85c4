#include "entry/prefix_collector.h"

#include <utility>

namespace knapweedknot {

namespace {

constexpr duration reply_timeout = milliseconds(300);

} // namespace

prefix_collector::prefix_collector(loop& event_loop, mesh& peer_mesh,
                                   const idempotent_executor& idempotency)
    : owner(event_loop), network(peer_mesh), executor(idempotency) {}

void prefix_collector::collect(const account_id& account,
                               const std::vector<incarnation_id>& issuers, handler done) {
    const std::uint64_t id = ++this->last_id;
    pending_collection& collection = this->pending[id];
    collection.done = std::move(done);
    wire::prefix_requestT request;
    request.id = id;
    request.account = account.value;
    for (const incarnation_id issuer : issuers) {
        if (issuer == this->network.self().incarnation) {
            collection.received[issuer] = this->executor.issue_prefix(account);
        } else if (this->network.send(issuer, request)) {
            ++collection.outstanding;
        }
    }
    if (collection.outstanding == 0) {
        this->finish(id);
        return;
    }
    collection.timeout = this->owner.after(reply_timeout, [this, id] { this->finish(id); });
}

void prefix_collector::finish(std::uint64_t id) {
    const auto found = this->pending.find(id);
    const pending_collection collection = std::move(found->second);
    this->pending.erase(found);
    collection.done(collection.received);
}

void prefix_collector::handle_request(const peer_info& from, const wire::prefix_requestT& request) {
    wire::prefix_replyT reply;
    reply.id = request.id;
    reply.prefix = this->executor.issue_prefix(account_id{request.account});
    this->network.send(from.incarnation, std::move(reply));
}

void prefix_collector::handle_reply(const peer_info& from, const wire::prefix_replyT& reply) {
    const auto found = this->pending.find(reply.id);
    if (found == this->pending.end()) {
        return;
    }
    pending_collection& collection = found->second;
    collection.received[from.incarnation] = reply.prefix;
    if (--collection.outstanding == 0) {
        this->finish(reply.id);
    }
}

} // namespace knapweedknot
