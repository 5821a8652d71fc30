//! Tests of the order of nodes for the tasks of a step, against a search of all nodes.

use bolero::check;
use peridotfold_core::flow::ranking::Ranking;

/// Returns the node that a search of all nodes finds: the lowest score, then the lowest slot, and
/// `avoid` only if there is no other.
fn search(scores: &[Option<u8>], avoid: Option<usize>) -> Option<usize> {
    let open = (0..scores.len()).filter(|slot| scores[*slot].is_some());
    open.min_by_key(|slot| (avoid == Some(*slot), scores[*slot], *slot))
}

/// Guards against a node that is passed over, or chosen with an outdated score, because nodes are
/// scored once for a step instead of once for each task.
#[test]
fn a_ranking_finds_the_same_nodes_as_a_full_search() {
    check!().with_type::<(Vec<Option<u8>>, Vec<(Option<u8>, Option<u8>)>)>().for_each(
        |(scores, tasks)| {
            let mut scores = scores.clone();
            let open =
                scores.iter().enumerate().filter_map(|(slot, score)| Some(((*score)?, slot)));
            let mut ranking = Ranking::new(open);
            for (avoid, next_score) in tasks {
                let avoid = avoid.map(usize::from);
                let expected = search(&scores, avoid);
                assert_eq!(ranking.take(avoid), expected);
                let Some(slot) = expected else { break };
                scores[slot] = *next_score;
                if let Some(score) = *next_score {
                    ranking.put(score, slot);
                }
            }
        },
    );
}
