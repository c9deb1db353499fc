#include "consensus/pending_proposals.h"

#include <utility>

namespace cloverbank {

void PendingProposals::Add(const RaftPosition& position, Done done) {
  proposals_[position.index] = {position.term, std::move(done)};
}

void PendingProposals::Complete(const proto::RaftEntry& entry, std::string result) {
  const auto found = proposals_.find(entry.index());
  if (found == proposals_.end()) {
    return;
  }
  Proposal proposal = std::move(found->second);
  proposals_.erase(found);
  if (proposal.term == entry.term()) {
    proposal.done(std::move(result));
  } else {
    proposal.done(Status(StatusCode::kNotLeader,
                         "the command at index " + std::to_string(entry.index()) + " of term " +
                             std::to_string(proposal.term) + " was replaced by an entry of term " +
                             std::to_string(entry.term())));
  }
}

void PendingProposals::FailFromLostTerms() {
  // A callback may end the leadership or propose again, so the term is read for each proposal.
  while (!proposals_.empty()) {
    const auto first = proposals_.begin();
    if (first->second.term == context_.LeadingTerm()) {
      return;
    }
    const Done done = std::move(first->second.done);
    proposals_.erase(first);
    done(Status(StatusCode::kUnknownOutcome,
                "this member lost leadership before the command was committed"));
  }
}

}  // namespace cloverbank
