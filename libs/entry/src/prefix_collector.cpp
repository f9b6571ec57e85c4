#include "entry/prefix_collector.h"

#include <utility>

namespace knapweedknot {

namespace {

constexpr duration collect_limit = milliseconds(300);

} // namespace

prefix_collector::prefix_collector(loop& event_loop, mesh& peer_mesh,
                                   const idempotent_executor& keeper)
    : owner(event_loop), network(peer_mesh), own(keeper) {}

void prefix_collector::collect(const account_id& account,
                               const std::vector<incarnation_id>& issuers, handler done) {
    const std::uint64_t id = ++this->last_id;
    collection& started = this->open[id];
    started.done = std::move(done);
    wire::prefix_requestT request;
    request.id = id;
    request.account = account.value;
    for (const incarnation_id issuer : issuers) {
        if (issuer == this->network.self().incarnation) {
            started.found[issuer] = this->own.issue(account);
        } else if (this->network.send(issuer, request)) {
            ++started.missing;
        }
    }
    if (started.missing == 0) {
        this->finish(id);
        return;
    }
    started.limit = this->owner.after(collect_limit, [this, id] { this->finish(id); });
}

void prefix_collector::finish(std::uint64_t id) {
    const auto found = this->open.find(id);
    const collection ended = std::move(found->second);
    this->open.erase(found);
    ended.done(ended.found);
}

void prefix_collector::handle_request(const peer_info& from, const wire::prefix_requestT& request) {
    wire::prefix_replyT reply;
    reply.id = request.id;
    reply.prefix = this->own.issue(account_id{request.account});
    this->network.send(from.incarnation, std::move(reply));
}

void prefix_collector::handle_reply(const peer_info& from, const wire::prefix_replyT& reply) {
    const auto found = this->open.find(reply.id);
    if (found == this->open.end()) {
        return;
    }
    collection& waiting = found->second;
    waiting.found[from.incarnation] = reply.prefix;
    if (--waiting.missing == 0) {
        this->finish(reply.id);
    }
}

} // namespace knapweedknot
